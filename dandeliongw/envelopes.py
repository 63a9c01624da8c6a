"""Authenticated envelopes for the messages between instances.

A :class:`Sealer` creates them, an :class:`Opener` verifies them. The proof of
an envelope is a counter of eight bytes and, with a shared secret, a keyed
hash (HMAC) over every other field and that counter. It rejects

* forged and modified envelopes (the hash differs),
* envelopes of an earlier process of the same instance, which a network can
  deliver after a restart (the incarnation is lower),
* replayed envelopes, and those that an abandoned connection delivers after
  the connection that replaced it (the counter is not higher than the last).

An opener keeps no state over a restart: after the *recipient's* restart, the
first envelope of each sender is accepted with any counter. Components must
therefore still tolerate a duplicate message, as
:class:`~.coordination.parts.Send` requires.
"""

import collections
import enum
import hmac

import msgspec

from .protocol import envelope_pb2

COUNTER_BYTES = 8
#: 128 bits of SHA-256; the full 32 bytes would add a fifth to a heartbeat.
HASH_BYTES = 16


class DropReason(enum.StrEnum):
    """Why an envelope was not delivered (a counter label)."""

    # Dropped by the sender.
    QUEUE_FULL = 'queue_full'
    EXPIRED = 'expired'
    TOO_LARGE = 'too_large'
    UNKNOWN_PEER = 'unknown_peer'
    NOT_ENCODED = 'not_encoded'
    CONNECTION_LOST = 'connection_lost'
    STOPPED = 'stopped'
    # Dropped by the recipient.
    WRONG_RECIPIENT = 'wrong_recipient'
    BAD_PROOF = 'bad_proof'
    OLD_INCARNATION = 'old_incarnation'
    REPLAYED = 'replayed'
    NOT_DECODED = 'not_decoded'
    HANDLER_FAILED = 'handler_failed'


class _Seen(msgspec.Struct, kw_only=True):
    incarnation: int
    counter: int


class Sealer:
    """Creates the envelopes of one process.

    :param sender: this instance's id.
    :param incarnation: higher than that of any earlier process with this id.
    :param secret: shared by all instances; ``None`` to omit the keyed hash.
    """

    def __init__(
        self, *, sender: str, incarnation: int, secret: bytes | None
    ) -> None:
        self._sender = sender
        self._incarnation = incarnation
        self._secret = secret
        self._counters_by_id: collections.Counter[str] = collections.Counter()

    def seal(
        self, recipient: str, kind: str, body: bytes
    ) -> envelope_pb2.Envelope:
        """Return an envelope; must be called in the order of sending."""
        self._counters_by_id[recipient] += 1
        counter = self._counters_by_id[recipient]
        envelope = envelope_pb2.Envelope(
            sender=self._sender,
            incarnation=self._incarnation,
            recipient=recipient,
            kind=kind,
            body=body,
        )
        encoded = counter.to_bytes(COUNTER_BYTES, 'big')
        envelope.proof = encoded + _keyed_hash(self._secret, envelope, encoded)
        return envelope


class Opener:
    """Verifies the envelopes that one process receives.

    :param recipient: this instance's id.
    :param secret: as for :class:`Sealer`.
    """

    def __init__(self, *, recipient: str, secret: bytes | None) -> None:
        self._recipient = recipient
        self._secret = secret
        self._seen_by_id: dict[str, _Seen] = {}

    def check(self, envelope: envelope_pb2.Envelope) -> DropReason | None:
        """Return why the envelope must be dropped; ``None`` if it is valid."""
        if envelope.recipient != self._recipient:
            return DropReason.WRONG_RECIPIENT
        encoded = envelope.proof[:COUNTER_BYTES]
        expected = encoded + _keyed_hash(self._secret, envelope, encoded)
        well_formed = len(encoded) == COUNTER_BYTES
        if not well_formed or not hmac.compare_digest(
            expected, envelope.proof
        ):
            return DropReason.BAD_PROOF
        return self._check_order(envelope, int.from_bytes(encoded, 'big'))

    def _check_order(
        self, envelope: envelope_pb2.Envelope, counter: int
    ) -> DropReason | None:
        seen = self._seen_by_id.get(envelope.sender)
        if seen is None or envelope.incarnation > seen.incarnation:
            self._seen_by_id[envelope.sender] = _Seen(
                incarnation=envelope.incarnation, counter=counter
            )
            return None
        if envelope.incarnation < seen.incarnation:
            return DropReason.OLD_INCARNATION
        if counter <= seen.counter:
            return DropReason.REPLAYED
        seen.counter = counter
        return None


def _keyed_hash(
    secret: bytes | None, envelope: envelope_pb2.Envelope, counter: bytes
) -> bytes:
    if secret is None:
        return b''
    fields = (
        envelope.sender.encode(),
        envelope.incarnation.to_bytes(8, 'big'),
        envelope.recipient.encode(),
        envelope.kind.encode(),
        envelope.body,
        counter,
    )
    # Each field is prefixed with its length. Without it, two ways to split
    # the same bytes into fields would have the same hash.
    text = b''.join(len(f).to_bytes(4, 'big') + f for f in fields)
    return hmac.digest(secret, text, 'sha256')[:HASH_BYTES]
