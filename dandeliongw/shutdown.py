"""Graceful shutdown of an instance.

The instance is removed from the list of entries at once. It keeps serving for
the list's time to live, since callers may still use its address. After that it
refuses new requests, waits for those in flight up to a limit, and leaves.
"""

import typing

import msgspec

from . import directory as directory_module
from . import effects
from . import settings as settings_module
from .cell import succession as succession_module
from .coordination import membership
from .entry import admission
from .entry import requests

#: Seconds for aborted requests to send an error to their callers.
CUT_OFF_S = 2.0


class HandOver(msgspec.Struct, frozen=True, kw_only=True):
    """Event: this instance is draining; hand its cells over to others."""

    now: float


class Left(msgspec.Struct, frozen=True, kw_only=True):
    """Event: this instance's leave message has been sent to the others."""

    now: float


class Shutdown:
    """The steps of a shutdown, in order; inactive until :meth:`begin`."""

    def __init__(
        self,
        *,
        timeouts: settings_module.Timeouts,
        directory: directory_module.Directory,
        gate: admission.Admission,
        running: requests.Requests,
        succession: succession_module.Succession,
    ) -> None:
        self._timeouts = timeouts
        self._directory = directory
        self._gate = gate
        self._requests = running
        self._succession = succession
        self._began_at: float | None = None
        self._cut_off: int | None = None
        self._has_left = False

    @property
    def is_shutting_down(self) -> bool:
        """Whether the shutdown has begun; also read by other threads."""
        return self._began_at is not None

    def begin(self, now: float) -> list[typing.Any]:
        """Leave the list of entries, but keep serving for its time to live.

        Callers cache the response of ``GET /v1/entries`` for that long. If
        requests were refused at once, valid calls would fail.
        """
        if self._began_at is not None:
            return []
        self._began_at = now
        draining = membership.SetDraining(now=now, draining=True)
        return [
            effects.log('shutdown begins'),
            effects.Dispatch(event=draining),
            effects.Dispatch(event=HandOver(now=now)),
        ]

    def hand_over(self, event: HandOver) -> list[typing.Any]:
        """Hand the cells over, now that no ranking includes this instance."""
        return self._succession.hand_over(event.now)

    def tick(self, now: float) -> list[typing.Any]:
        """Perform the next step if it is due."""
        if self._began_at is None or self._has_left:
            return []
        past_ttl_s = now - self._began_at - self._timeouts.entries_ttl_s
        if past_ttl_s < 0:
            return []
        self._directory.is_draining = True
        limit_s = self._timeouts.shutdown_s
        out: list[typing.Any] = []
        if past_ttl_s >= limit_s and self._cut_off is None:
            # Without this limit, a caller that never reads its answer would
            # keep the process running forever.
            self._cut_off = self._gate.in_flight
            out = self._requests.abort_all(now)
        if self._gate.in_flight and past_ttl_s < limit_s + CUT_OFF_S:
            return out
        self._has_left = True
        return [
            *out,
            effects.Dispatch(event=membership.Leave(now=now)),
            effects.log(
                f'leaving with {self._gate.in_flight} requests in flight'
            ),
            effects.Dispatch(event=Left(now=now)),
        ]

    def left(self, event: Left) -> list[typing.Any]:
        """Finish the shutdown, after the leave was sent to the others."""
        return [effects.Drained(cut_off=self._cut_off or 0)]
