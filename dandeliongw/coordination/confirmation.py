"""How an instance learns that its configuration is still the current one.

A voter asks its fellow voters which ballot they hold; when a quorum holds
the same one, that version was the latest when the check began. Everyone else
asks one voter, which answers all who wait with one check.
"""

from collections import abc

import msgspec

from . import ballot as ballots
from . import configuration as configurations
from . import parts
from . import register_messages as messages

# Fractions of the time to live. An ask goes out at 0.3; two asks may stay
# unanswered for 0.2 each, and the answer to the third one, which waits up to
# 0.15 for the next check, still comes before the time to live has run out.
# Answers that come later than that count from when their ask left.
# The first goes to one voter, the second to two, the third to four: enough
# for any minority of twelve voters to be silent.
ASK_EVERY = 0.3
ASK_TIMEOUT = 0.2
#: Where answers come later than that, the next ask waits for so many times
#: as long as the last answer took, up to a fraction of the time to live: the
#: more often a full link is asked over, the later its answers come.
TIMEOUT_FACTOR = 1.5
LONGEST_ASK_TIMEOUT = 0.4
CHECK_GAP = 0.15
CHECK_TIMEOUT = 0.1
#: How long the reports of a check count. A later one may have begun by then.
CHECK_LIFE = 0.4
MOST_DOUBLINGS = 2
#: A silent voter is asked last for this many times to live.
AVOID_FOR = 4.0


class Asker:
    """Asks one voter after the other to confirm the configuration.

    :param ttl_s: how long a confirmation lasts, in seconds.
    """

    def __init__(self, *, instance_id: str, ttl_s: float) -> None:
        self._instance_id = instance_id
        self._ttl_s = ttl_s
        self._ask_id: int | None = None
        self._targets: list[str] = []
        self._unanswered = 0
        self._sent_at = 0.0
        #: Of asks whose answer would still be of use.
        self._sent_at_by_ask: dict[int, float] = {}
        self._timeout_s = ASK_TIMEOUT * ttl_s
        self._next_at: float | None = None
        self._is_hurried = False
        self._avoid_until_by_id: dict[str, float] = {}
        #: Asks since the last one that was answered in time, and answers to
        #: those that had been given up by then.
        self.asks = 0
        self.late_answers = 0

    def start(self, first_id: int) -> None:
        """Begin to ask, with ids that no earlier run of this instance used.

        Otherwise the answer to an ask from before a restart would pass for
        the answer to the first ask after it, and count from that one.
        """
        self._ask_id = first_id

    def hurry(self) -> None:
        """Ask at the next occasion: something has changed.

        An ask that is under way may have left before the change, so its
        answer does not count as the occasion.
        """
        self._is_hurried = True

    def tick(
        self,
        now: float,
        candidates: abc.Sequence[str],
        base: ballots.Ballot | None,
    ) -> list[parts.Send]:
        """Ask when it is time, or another one when the last is silent."""
        if not self.is_due(now):
            return []
        if self._targets:
            self._unanswered += 1
            for instance_id in self._targets:
                self._avoid(instance_id, now)
        return self._ask(now, candidates, base)

    def is_due(self, now: float) -> bool:
        """Return whether it is time to ask, or to ask another one."""
        if self._ask_id is None:
            return False
        if self._targets:
            return now - self._sent_at >= self._timeout_s
        if self._is_hurried or self._next_at is None:
            return True
        return now >= self._next_at

    def answered(self, sender: str, ask_id: int, now: float) -> float | None:
        """Return when the ask left, if its answer is of use.

        So is the answer to an ask that was given up: it proves what was the
        latest version after that one left. Without it an entry whose packets
        wait 0.2 s for its link is confirmed by nobody for as long as they
        do, and one sees it act on an old document among others that don't.
        """
        sent_at = self._sent_at_by_ask.pop(ask_id, None)
        if sent_at is None:
            return None
        self._avoid_until_by_id.pop(sender, None)
        self._unanswered = 0
        self._timeout_s = self._timeout_after(now - sent_at)
        if ask_id == self._ask_id:
            self._targets = []
            self._next_at = self._sent_at + ASK_EVERY * self._ttl_s
            self.asks = 0
            self.late_answers = 0
        else:
            self.late_answers += 1
        return sent_at

    def _timeout_after(self, took_s: float) -> float:
        """Return how long the next ask may take, after one that took so."""
        longest_s = LONGEST_ASK_TIMEOUT * self._ttl_s
        wanted_s = min(longest_s, TIMEOUT_FACTOR * took_s)
        return max(ASK_TIMEOUT * self._ttl_s, wanted_s)

    def refused(self, sender: str, ask_id: int, now: float) -> None:
        """Pass over one that was asked."""
        if ask_id != self._ask_id or sender not in self._targets:
            return
        self._avoid(sender, now)
        self._targets.remove(sender)
        if not self._targets:
            self._next_at = None

    def _avoid(self, instance_id: str, now: float) -> None:
        self._avoid_until_by_id[instance_id] = now + AVOID_FOR * self._ttl_s

    def _ask(
        self,
        now: float,
        candidates: abc.Sequence[str],
        base: ballots.Ballot | None,
    ) -> list[parts.Send]:
        ranked = sorted(candidates, key=lambda i: self._rank(i, now))
        doublings = min(self._unanswered, MOST_DOUBLINGS)
        self._targets = ranked[: 2**doublings]
        if not self._targets:
            return []
        self._is_hurried = False
        self.asks += 1
        self._ask_id += 1
        self._sent_at = now
        self._sent_at_by_ask[self._ask_id] = now
        self._forget_old_asks(now)
        message = messages.ConfirmConfiguration(ask_id=self._ask_id, base=base)
        return [parts.Send(to=to, message=message) for to in self._targets]

    def _forget_old_asks(self, now: float) -> None:
        """Forget asks whose answer would confirm nothing any more."""
        oldest = now - self._ttl_s
        for ask_id, sent_at in list(self._sent_at_by_ask.items()):
            if sent_at <= oldest:
                del self._sent_at_by_ask[ask_id]

    def _rank(self, instance_id: str, now: float) -> tuple[float, bytes]:
        avoided_until = self._avoid_until_by_id.get(instance_id, now)
        # The digest spreads the askers evenly over the voters.
        spread = configurations.digest(self._instance_id, instance_id)
        return max(avoided_until, now), spread


class WaitingAsk(msgspec.Struct, frozen=True, kw_only=True):
    """An ask that waits for the outcome of a check.

    :param after_check: id of the last check that had begun when it came.
        None up to that one answers it, as it may have read before the ask
        was sent.
    """

    arrived_at: float
    after_check: int
    ask: messages.ConfirmConfiguration


class Check:
    """One majority check of a voter."""

    def __init__(self, *, check_id: int, started_at: float) -> None:
        self.check_id = check_id
        self.started_at = started_at
        self.accepted_by_disk: dict[str, ballots.Ballot | None] = {}
        #: The disks that were sent a query.
        self.asked: set[str] = set()
        #: The latest ballot whose version was asked for.
        self.fetched: ballots.Ballot | None = None

    def disks_holding(self, ballot: ballots.Ballot) -> set[str]:
        """Return the disks that reported exactly this ballot."""
        return {
            disk_id
            for disk_id, accepted in self.accepted_by_disk.items()
            if accepted == ballot
        }

    def confirms(self, version: configurations.Version) -> bool:
        """Tell whether the version was the latest when the check began.

        A quorum of its voters holds it, so a later chosen version would have
        left a trace on at least one of them.
        """
        voters = version.configuration.voters
        return voters.has_quorum(self.disks_holding(version.ballot))

    def latest(self) -> ballots.Ballot | None:
        """Return the highest ballot that any disk reported."""
        reported = [b for b in self.accepted_by_disk.values() if b]
        return max(reported, default=None)
