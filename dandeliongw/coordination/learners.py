"""Gossip of the confirmed configuration while no voter answers.

A change may be confirmed at some instances just before the voters lose
power. Without this, the other instances would act on an older configuration
until the voters are back, and a new route would work at some entries only.
So an instance that gets no answer from voters queries other instances, chosen
again each round. A version that one of them has confirmed was chosen by a
majority, and nothing older can be chosen after it. It does not show whether
there is a later one; so the time of the last confirmation stays unchanged.
"""

from collections import abc

from . import ballot as ballots
from . import configuration as configurations
from . import parts
from . import register_messages as messages

#: Instances queried per round. With two, each round reaches three times as
#: many instances as the one before: all of 200 in five rounds.
FANOUT = 2
#: Fraction of the TTL without an answer of a voter after which other
#: instances are queried: a confirmation request is due after 0.3 of it, and
#: times out after 0.2 more.
QUERY_AFTER = 0.5
#: Fraction of the TTL between two rounds.
QUERY_EVERY = 0.1


class Learners:
    """Queries other instances while no voter answers.

    :param ttl_s: how long a confirmation is valid, in seconds.
    """

    def __init__(self, *, instance_id: str, ttl_s: float) -> None:
        self._instance_id = instance_id
        self._ttl_s = ttl_s
        self._next_at: float | None = None
        self._round = 0

    def note_confirmation(self, now: float) -> None:
        """Record a confirmation; queries are due only some time after it."""
        self._next_at = now + QUERY_AFTER * self._ttl_s

    def tick(
        self,
        now: float,
        instance_ids: abc.Iterable[str],
        base: ballots.Ballot | None,
    ) -> list[parts.Send]:
        """Return the queries that are due.

        :param instance_ids: the instances that are known to be alive.
        :param base: the ballot of the version held here.
        """
        if self._next_at is None:
            self.note_confirmation(now)
        if now < self._next_at:
            return []
        self._next_at = now + QUERY_EVERY * self._ttl_s
        self._round += 1
        others = [each for each in instance_ids if each != self._instance_id]
        others.sort(key=self._rank)
        message = messages.LearnerQuery(base=base)
        return [
            parts.Send(to=each, message=message, by_datagram=True)
            for each in others[:FANOUT]
        ]

    def _rank(self, instance_id: str) -> bytes:
        # A different order in each round and at each instance.
        return configurations.digest(
            self._instance_id, self._round, instance_id
        )
