"""The origins of streams that one instance keeps."""

import hashlib
import heapq

import msgspec

from ._origin_messages import KeepOrigin
from ._origin_messages import KeptVersion
from ._origin_messages import StreamOrigin

#: Most origins that one instance keeps, some 300 bytes each. Those that
#: expire first are dropped beyond it.
MAX_KEPT = 200_000
#: Longest time, in seconds, for which an origin is kept.
MAX_KEEP_S = 900.0
_KEY_BYTES = 16


class _Kept(msgspec.Struct, frozen=True, kw_only=True):
    origin: StreamOrigin
    expires_at: float


class OriginStore:
    """Keeps origins until their callers can't come back any more.

    The first origin of a key stays: a stream never changes what began it.
    """

    def __init__(self) -> None:
        self._by_key: dict[bytes, _Kept] = {}
        #: Until when each origin is that of some stream. Kept apart, as
        #: origins may be dropped before they expire.
        self._ends_by_origin: dict[StreamOrigin, float] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._now = 0.0

    def add(self, now: float, kept: KeepOrigin) -> bool:
        """Keep an origin, unless one is kept already; return whether not."""
        self.expire(now)
        if kept.stream_key in self._by_key:
            return False
        keep_s = min(kept.keep_s, MAX_KEEP_S)
        self._ends_by_origin[kept.origin] = max(
            now + keep_s, self._ends_by_origin.get(kept.origin, now)
        )
        while len(self._by_key) >= MAX_KEPT:
            self._drop_first()
        expires_at = now + keep_s
        self._by_key[kept.stream_key] = _Kept(
            origin=kept.origin, expires_at=expires_at
        )
        heapq.heappush(self._expiries, (expires_at, kept.stream_key))
        return True

    def find(self, stream_key: bytes) -> StreamOrigin | None:
        """Return a stream's origin; ``None`` if it is not known here."""
        held = self._by_key.get(stream_key)
        return None if held is None else held.origin

    def versions(
        self, now: float, services: tuple[str, ...]
    ) -> tuple[KeptVersion, ...]:
        """Return what began the streams of some services, or of all.

        :param services: ``()`` for all.
        """
        self.expire(now)
        return tuple(
            KeptVersion(origin=origin, keep_s=ends_at - now)
            for origin, ends_at in self._ends_by_origin.items()
            if not services or origin.service in services
        )

    def expire(self, now: float) -> None:
        """Drop what no caller can ask for any more."""
        self._now = now
        while self._expiries and self._expiries[0][0] <= now:
            self._drop_first()
        for origin, ends_at in list(self._ends_by_origin.items()):
            if ends_at <= now:
                del self._ends_by_origin[origin]

    def snapshot(self) -> tuple[KeepOrigin, ...]:
        """Return the records from which it can be restored."""
        streams = (
            KeepOrigin(
                stream_key=key,
                origin=held.origin,
                keep_s=max(0.0, held.expires_at - self._now),
            )
            for key, held in self._by_key.items()
        )
        versions = map(as_stream, self.versions(self._now, ()))
        return (*streams, *versions)

    def _drop_first(self) -> None:
        _, key = heapq.heappop(self._expiries)
        del self._by_key[key]

    def __len__(self) -> int:
        return len(self._by_key)


def as_stream(kept: KeptVersion) -> KeepOrigin:
    """Return the record of a version as if one stream stood for all."""
    origin = kept.origin
    key = f'{len(origin.service)}:{origin.service}{origin.software_version}'
    return KeepOrigin(
        stream_key=hashlib.blake2b(
            key.encode(), digest_size=_KEY_BYTES, person=b'version'
        ).digest(),
        origin=origin,
        keep_s=kept.keep_s,
    )
