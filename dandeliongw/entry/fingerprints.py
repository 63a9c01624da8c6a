"""Fingerprints, by which all instances recognise equal calls."""

import functools
import hashlib
import hmac
import itertools

from .. import events

#: Maximum parts of one prompt that have fingerprints, so that no call leaves
#: evidence on thousands of parts.
MAX_PARTS = 64
#: Maximum fingerprints of parts that are kept.
CACHED_PARTS = 10_000
#: Length of the keyed hash. It is enough to rule out accidental collisions
#: and short enough for messages between instances and for log lines.
FINGERPRINT_BYTES = 16


class Fingerprints:
    """Computes the fingerprints of calls.

    Calls with the same client, method, host, path with query and body have
    the same fingerprint at every entry and from every address. Request id,
    deadline, position in a stream and ``Idempotency-Key`` are not part of it.
    The client is identified by its account or the credentials that it sends;
    all calls without either count as the same client's. A fingerprint reveals
    nothing about the call, and it cannot be computed without the secret.

    :param secret: shared by all instances; ``None`` if they have none.
    """

    def __init__(self, *, secret: bytes | None) -> None:
        self._key = hashlib.sha256(secret or b'').digest()
        self._of_part = functools.lru_cache(CACHED_PARTS)(self._hash_part)

    def of(self, call: events.Call) -> str:
        """Return the fingerprint of a call, in hexadecimal."""
        return self._hash(
            call.key_sha256.encode(),
            call.credentials_sha256.encode(),
            *_content(call),
        )

    def of_content(self, call: events.Call) -> str:
        """Return the fingerprint of a call's content, for all clients."""
        return self._hash(b'content', *_content(call))

    def of_parts(self, call: events.Call) -> tuple[str, ...]:
        """Return the fingerprints of a prompt's shared parts, in order.

        A part has the same one in all prompts, of all clients.
        """
        parts = dict.fromkeys(call.shared_parts)
        return tuple(
            self._of_part(part) for part in itertools.islice(parts, MAX_PARTS)
        )

    def _hash_part(self, part: str) -> str:
        return self._hash(b'part', part.encode())

    def _hash(self, *fields: bytes) -> str:
        # The length prefix distinguishes ('ab', 'c') from ('a', 'bc').
        joined = b''.join(
            len(field).to_bytes(4, 'big') + field for field in fields
        )
        digest = hmac.digest(self._key, joined, 'sha256')
        return digest[:FINGERPRINT_BYTES].hex()


def _content(call: events.Call) -> tuple[bytes, ...]:
    return call.host.encode(), call.service.encode(), call.digest


def is_shared(call: events.Call) -> bool:
    """Whether other clients' calls may have the same fingerprint."""
    return not call.key_sha256 and not call.credentials_sha256
