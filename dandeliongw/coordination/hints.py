"""Hints to other instances about a new revision.

They make an instance request a confirmation at once, so that the change is
in force sooner.
"""

from collections import abc

from . import enforcement
from . import parts
from . import register_messages as messages

#: Interval in seconds at which a hint is resent to instances that have not
#: confirmed the revision.
HINT_EVERY_S = 1.0


class Hints:
    """Sends hints about changes made here, and answers hints of others.

    :param ttl_s: how long a confirmation is valid, in seconds.
    """

    def __init__(self, *, instance_id: str, ttl_s: float) -> None:
        self._instance_id = instance_id
        self._ttl_s = ttl_s
        self._revision: int | None = None
        self._next_at = 0.0
        self._until = 0.0
        self._hint_senders: set[str] = set()

    def begin(self, revision: int, now: float) -> None:
        """Send hints about a revision from now on, for one TTL.

        By then the confirmations of earlier revisions have expired.
        """
        self._revision = revision
        self._next_at = now
        self._until = now + self._ttl_s

    def tick(
        self,
        now: float,
        in_force: abc.Callable[
            [int, float], dict[str, enforcement.Enforcement]
        ],
    ) -> list[parts.Send]:
        """Return the hints that are due.

        :param in_force: returns the state of each instance for a revision
            and a time.
        """
        if self._revision is None or now < self._next_at:
            return []
        if now >= self._until:
            self._revision = None
            return []
        self._next_at = now + HINT_EVERY_S
        message = messages.ConfigurationHint(revision=self._revision)
        return [
            # Sent to all instances, and resent if lost: opening a connection
            # to each would cost more.
            parts.Send(to=instance_id, message=message, by_datagram=True)
            for instance_id, state in in_force(self._revision, now).items()
            if state is enforcement.Enforcement.WAITING
            and instance_id != self._instance_id
        ]

    def add_hint_sender(self, instance_id: str) -> None:
        """Record the sender of a hint, to notify it of the confirmation."""
        self._hint_senders.add(instance_id)

    def confirmed(self, revision: int) -> list[parts.Send]:
        """Notify the recorded senders of hints; forget them."""
        message = messages.RevisionConfirmed(revision=revision)
        senders = sorted(self._hint_senders)
        self._hint_senders.clear()
        return [
            parts.Send(to=to, message=message, by_datagram=True)
            for to in senders
        ]
