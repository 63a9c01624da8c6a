"""Spreads a confirmed configuration among instances that no voter answers.

A change is confirmed at some instances a moment before the voters lose power.
The others would act on an older one for as long as the voters are away; one
would see a route that works at some entries and not at others. So whoever
gets no answer asks other instances, chosen anew each time: what one of them
has confirmed was chosen by a majority, and nothing older can be chosen after
it. It tells nothing of whether there is a later one; so the time of the last
confirmation stays as it is.
"""

from collections import abc

from . import ballot as ballots
from . import configuration as configurations
from . import parts
from . import register_messages as messages

#: Instances asked at a time. With two, each round reaches three times as many
#: instances as the one before: all of 200 in five.
ASKED = 2
#: Fraction of the time to live without an answer of a voter after which
#: others are asked: an ask is due after 0.3 of it, and late after 0.2 more.
PATIENCE = 0.5
#: Fraction of the time to live between two rounds.
EVERY = 0.1


class Learners:
    """Asks other instances while no voter answers.

    :param ttl_s: how long a confirmation lasts, in seconds.
    """

    def __init__(self, *, instance_id: str, ttl_s: float) -> None:
        self._instance_id = instance_id
        self._ttl_s = ttl_s
        self._next_at: float | None = None
        self._round = 0

    def heard(self, now: float) -> None:
        """Note that a voter has answered."""
        self._next_at = now + PATIENCE * self._ttl_s

    def tick(
        self,
        now: float,
        instance_ids: abc.Iterable[str],
        base: ballots.Ballot | None,
    ) -> list[parts.Send]:
        """Return the questions that are due.

        :param instance_ids: who lives, as far as is known.
        :param base: the version held here.
        """
        if self._next_at is None:
            self.heard(now)
        if now < self._next_at:
            return []
        self._next_at = now + EVERY * self._ttl_s
        self._round += 1
        others = [each for each in instance_ids if each != self._instance_id]
        others.sort(key=self._rank)
        message = messages.LearnerQuery(base=base)
        return [
            parts.Send(to=each, message=message, by_datagram=True)
            for each in others[:ASKED]
        ]

    def _rank(self, instance_id: str) -> bytes:
        # Other ones each time, and other ones for each that asks.
        return configurations.digest(
            self._instance_id, self._round, instance_id
        )
