"""How an instance confirms that its configuration is still the current one.

A voter queries the other voters for the ballot that they hold. When a quorum
holds the same one, that version was the latest when the check began. Any
other instance sends a confirmation request to a voter, which answers all
waiting requests from one check.
"""

from collections import abc

import msgspec

from . import ballot as ballots
from . import configuration as configurations
from . import parts
from . import register_messages as messages

# Fractions of the TTL of a confirmation. A request is sent at 0.3. Two
# requests may time out after 0.2 each, and the answer to the third one, which
# waits up to 0.15 for the next check, still arrives before the TTL has
# expired. Answers that arrive later than that are valid for one TTL from when
# their request was sent.
# The first request goes to one voter, the second to two, the third to four:
# enough to tolerate any minority of twelve voters that does not answer.
REQUEST_EVERY = 0.3
REQUEST_TIMEOUT = 0.2
#: Where answers take longer than that, the timeout is this many times the
#: last answer's round trip, up to a fraction of the TTL. Without this,
#: repeated requests would delay the answers further on a saturated link.
TIMEOUT_FACTOR = 1.5
MAX_REQUEST_TIMEOUT = 0.4
CHECK_GAP = 0.15
CHECK_TIMEOUT = 0.1
#: How long reports to a check are counted. A later one may have begun by
#: then.
CHECK_LIFE = 0.4
MAX_DOUBLINGS = 2
#: A voter that did not answer is ranked last for this many TTLs.
AVOID_FOR = 4.0


class ConfirmationRequester:
    """Requests confirmations of the configuration from the voters.

    A request that times out is followed by one to other voters.

    :param ttl_s: how long a confirmation is valid, in seconds.
    """

    def __init__(self, *, instance_id: str, ttl_s: float) -> None:
        self._instance_id = instance_id
        self._ttl_s = ttl_s
        self._request_id: int | None = None
        self._targets: list[str] = []
        self._unanswered = 0
        self._sent_at = 0.0
        #: Send times of the requests whose answers would still be valid.
        self._sent_at_by_request: dict[int, float] = {}
        self._timeout_s = REQUEST_TIMEOUT * ttl_s
        self._next_at: float | None = None
        self._is_due_now = False
        self._avoid_until_by_id: dict[str, float] = {}
        #: Requests since the last one that was answered in time, and answers
        #: to those that had timed out by then.
        self.asks = 0
        self.late_answers = 0

    def start(self, first_id: int) -> None:
        """Begin to send, with ids that no earlier run of this instance used.

        Otherwise the answer to a request from before a restart could be
        taken for the answer to the first one after it, and count from that
        one's send time.
        """
        self._request_id = first_id

    def request_soon(self) -> None:
        """Send a request as soon as none is pending: a change was made.

        The answer to a pending request does not suffice, as that one may
        have been sent before the change.
        """
        self._is_due_now = True

    def tick(
        self,
        now: float,
        candidates: abc.Sequence[str],
        base: ballots.Ballot | None,
    ) -> list[parts.Send]:
        """Send a request when one is due, or again after a timeout."""
        if not self.is_due(now):
            return []
        if self._targets:
            self._unanswered += 1
            for instance_id in self._targets:
                self._avoid(instance_id, now)
        return self._send_request(now, candidates, base)

    def is_due(self, now: float) -> bool:
        """Return whether a request is due or the pending one timed out."""
        if self._request_id is None:
            return False
        if self._targets:
            return now - self._sent_at >= self._timeout_s
        if self._is_due_now or self._next_at is None:
            return True
        return now >= self._next_at

    def on_answer(self, sender: str, ask_id: int, now: float) -> float | None:
        """Record an answer; return when its request was sent.

        The answer to a request that timed out is valid as well: it proves
        which version was the latest after that one was sent. Without this,
        an entry whose packets wait 0.2 s for its link would get no
        confirmation while that lasts, and would serve an old document while
        other entries serve the present one.

        :returns: monotonic seconds; ``None`` for an answer that does not
            count.
        """
        sent_at = self._sent_at_by_request.pop(ask_id, None)
        if sent_at is None:
            return None
        self._avoid_until_by_id.pop(sender, None)
        self._unanswered = 0
        self._timeout_s = self._timeout_after(now - sent_at)
        if ask_id == self._request_id:
            self._targets = []
            self._next_at = self._sent_at + REQUEST_EVERY * self._ttl_s
            self.asks = 0
            self.late_answers = 0
        else:
            self.late_answers += 1
        return sent_at

    def _timeout_after(self, took_s: float) -> float:
        """Return the timeout of the next request.

        :param took_s: how long the last answer took, in seconds.
        """
        max_s = MAX_REQUEST_TIMEOUT * self._ttl_s
        wanted_s = min(max_s, TIMEOUT_FACTOR * took_s)
        return max(REQUEST_TIMEOUT * self._ttl_s, wanted_s)

    def on_refusal(self, sender: str, ask_id: int, now: float) -> None:
        """Drop a recipient of the pending request that is no voter."""
        if ask_id != self._request_id or sender not in self._targets:
            return
        self._avoid(sender, now)
        self._targets.remove(sender)
        if not self._targets:
            self._next_at = None

    def _avoid(self, instance_id: str, now: float) -> None:
        self._avoid_until_by_id[instance_id] = now + AVOID_FOR * self._ttl_s

    def _send_request(
        self,
        now: float,
        candidates: abc.Sequence[str],
        base: ballots.Ballot | None,
    ) -> list[parts.Send]:
        ranked = sorted(candidates, key=lambda i: self._rank(i, now))
        doublings = min(self._unanswered, MAX_DOUBLINGS)
        self._targets = ranked[: 2**doublings]
        if not self._targets:
            return []
        self._is_due_now = False
        self.asks += 1
        self._request_id += 1
        self._sent_at = now
        self._sent_at_by_request[self._request_id] = now
        self._remove_expired_requests(now)
        message = messages.ConfirmConfiguration(
            ask_id=self._request_id, base=base
        )
        return [parts.Send(to=to, message=message) for to in self._targets]

    def _remove_expired_requests(self, now: float) -> None:
        """Remove requests whose answers would be older than the TTL."""
        oldest = now - self._ttl_s
        for request_id, sent_at in list(self._sent_at_by_request.items()):
            if sent_at <= oldest:
                del self._sent_at_by_request[request_id]

    def _rank(self, instance_id: str, now: float) -> tuple[float, bytes]:
        avoided_until = self._avoid_until_by_id.get(instance_id, now)
        # The digest spreads the instances evenly over the voters.
        spread = configurations.digest(self._instance_id, instance_id)
        return max(avoided_until, now), spread


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A confirmation request that waits for the result of a check.

    :param arrived_at: when it was received, in monotonic seconds.
    :param after_check_id: id of the last check that had begun by then. Only
        later checks answer the request, as this one and those before it may
        have read before the request was sent.
    """

    arrived_at: float
    after_check_id: int
    request: messages.ConfirmConfiguration


class Check:
    """One quorum check of a voter."""

    def __init__(self, *, check_id: int, started_at: float) -> None:
        self.check_id = check_id
        self.started_at = started_at
        self.accepted_by_disk: dict[str, ballots.Ballot | None] = {}
        #: The disks that were sent a query.
        self.queried: set[str] = set()
        #: The latest ballot whose version was requested from another disk.
        self.fetched: ballots.Ballot | None = None

    def disks_holding(self, ballot: ballots.Ballot) -> set[str]:
        """Return the disks that reported exactly this ballot."""
        return {
            disk_id
            for disk_id, accepted in self.accepted_by_disk.items()
            if accepted == ballot
        }

    def confirms(self, version: configurations.Version) -> bool:
        """Return whether the version was the latest when the check began.

        It was if a quorum of its voters reported it: one of them at least
        would have reported a later version that had been chosen by then.
        """
        voters = version.configuration.voters
        return voters.has_quorum(self.disks_holding(version.ballot))

    def latest(self) -> ballots.Ballot | None:
        """Return the highest ballot that any disk reported."""
        reported = [b for b in self.accepted_by_disk.values() if b]
        return max(reported, default=None)
