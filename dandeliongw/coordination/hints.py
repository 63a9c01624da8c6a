"""Tells the others of a change, so that it is in force sooner."""

from collections import abc

from . import enforcement
from . import parts
from . import register_messages as messages

#: Instances that have not confirmed are told again this often, in seconds.
HINT_EVERY_S = 1.0


class Hints:
    """Hints at changes made here, and answers those made elsewhere."""

    def __init__(self, *, instance_id: str, ttl_s: float) -> None:
        self._instance_id = instance_id
        self._ttl_s = ttl_s
        self._revision: int | None = None
        self._next_at = 0.0
        self._until = 0.0
        self._hinters: set[str] = set()

    def begin(self, revision: int, now: float) -> None:
        """Tell of a revision from now on, until nobody can lack it."""
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
        """Tell whoever has not confirmed."""
        if self._revision is None or now < self._next_at:
            return []
        if now >= self._until:
            self._revision = None
            return []
        self._next_at = now + HINT_EVERY_S
        message = messages.ConfigurationHint(revision=self._revision)
        return [
            # To all there are, and told again: a connection to each would be
            # the larger cost.
            parts.Send(to=instance_id, message=message, by_datagram=True)
            for instance_id, state in in_force(self._revision, now).items()
            if state is enforcement.Enforcement.WAITING
            and instance_id != self._instance_id
        ]

    def note_hinter(self, instance_id: str) -> None:
        """Note who wants to hear that its revision was confirmed."""
        self._hinters.add(instance_id)

    def confirmed(self, revision: int) -> list[parts.Send]:
        """Tell those who hinted."""
        message = messages.RevisionConfirmed(revision=revision)
        hinters = sorted(self._hinters)
        self._hinters.clear()
        return [
            parts.Send(to=to, message=message, by_datagram=True)
            for to in hinters
        ]
