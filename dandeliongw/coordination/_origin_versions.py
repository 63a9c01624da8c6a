"""Which software versions have begun streams, asked of the voters.

A caller that doesn't name what began its stream may mean any stream that has
begun while it could have. So what counts is not who serves now, but what has
begun streams since; the voters have that of each stream until its caller can't
come back any more.

A voter's answer counts once it is *complete*: a disk that has just become a
voter has not been told of earlier streams, and asks the other voters first.
"""

from collections import abc
import typing

import msgspec

from . import parts
from ._origin_messages import AskVersions
from ._origin_messages import KeptVersion
from ._origin_messages import LookUpFailure
from ._origin_messages import LookUpSole
from ._origin_messages import StreamOrigin
from ._origin_messages import VersionsAnswer
from ._origin_store import MAX_KEEP_S

#: Seconds between two requests of a voter that asks the others.
READY_RESEND_S = 0.5
#: Seconds between two requests of a lookup, then over a connection.
RESEND_S = 0.1
ANSWER_TIMEOUT_S = 0.5

Effects = list[typing.Any]
Result = StreamOrigin | LookUpFailure


class _Asking(msgspec.Struct, kw_only=True):
    """Answers of the voters to one question.

    :param complete_ids: voters whose answers are complete.
    """

    ticket: str
    services: tuple[str, ...]
    began_at: float
    resend_at: float
    origins: set[StreamOrigin] = msgspec.field(default_factory=set)
    complete_ids: set[str] = msgspec.field(default_factory=set)

    def is_answered(self, voter_ids: abc.Set[str]) -> bool:
        """Whether a majority of the voters has answered completely."""
        return 2 * len(self.complete_ids & voter_ids) > len(voter_ids)

    def ask(
        self, voter_ids: abc.Set[str], *, by_datagram: bool
    ) -> list[parts.Send]:
        """Ask the voters that have not answered completely."""
        message = AskVersions(ticket=self.ticket, services=self.services)
        return [
            parts.Send(to=each, message=message, by_datagram=by_datagram)
            for each in sorted(voter_ids - self.complete_ids)
        ]


class SoleVersionLookUps:
    """Lookups of the one version that can have begun a stream."""

    def __init__(self) -> None:
        self._asking_by_ticket: dict[str, _Asking] = {}

    def begin(
        self,
        event: LookUpSole,
        others: abc.Set[str],
        own: VersionsAnswer,
        own_id: str,
        voter_ids: abc.Set[str],
    ) -> Effects:
        """Ask the other voters.

        :param own: what this instance knows, a voter or not.
        """
        asking = _Asking(
            ticket=event.ticket,
            services=event.services,
            began_at=event.now,
            resend_at=event.now + RESEND_S,
        )
        self._asking_by_ticket[event.ticket] = asking
        out = self.note(own_id, own, voter_ids)
        if event.ticket in self._asking_by_ticket:
            out += asking.ask(others, by_datagram=True)
        return out

    def note(
        self, sender: str, answer: VersionsAnswer, voter_ids: abc.Set[str]
    ) -> Effects:
        """Note an answer; complete the lookup if it decides it."""
        asking = self._asking_by_ticket.get(answer.ticket)
        if asking is None:
            return []
        asking.origins.update(each.origin for each in answer.kept)
        if answer.is_complete:
            asking.complete_ids.add(sender)
        result: Result
        if len(asking.origins) > 1:
            result = LookUpFailure.SEVERAL
        elif not asking.is_answered(voter_ids):
            return []
        else:
            result = next(iter(asking.origins), LookUpFailure.UNKNOWN)
        return self._complete(asking, result)

    def tick(self, now: float, others: abc.Set[str]) -> Effects:
        """Give lookups up that are not answered in time; resend others."""
        out: Effects = []
        for asking in list(self._asking_by_ticket.values()):
            if now - asking.began_at >= ANSWER_TIMEOUT_S:
                out += self._complete(asking, LookUpFailure.UNANSWERED)
            elif now >= asking.resend_at:
                asking.resend_at = now + RESEND_S
                out += asking.ask(others, by_datagram=False)
        return out

    def _complete(self, asking: _Asking, result: Result) -> Effects:
        del self._asking_by_ticket[asking.ticket]
        return [parts.Complete(ticket=asking.ticket, result=result)]


class Completeness:
    """Whether this voter's own answers are complete.

    :param settle_s: seconds from becoming a voter to asking the others: until
        then, instances that have not heard of the new voters may store an
        origin with the old ones.
    """

    def __init__(self, *, settle_s: float) -> None:
        self._settle_s = settle_s
        self.is_complete = False
        self._voter_since: float | None = None
        self._asking: _Asking | None = None

    def set_voter(self, now: float, *, is_voter: bool) -> None:
        """Note whether this instance is a voter."""
        if not is_voter:
            self.is_complete = False
            self._voter_since = None
            self._asking = None
        elif self._voter_since is None:
            self._voter_since = now

    def note(
        self, sender: str, answer: VersionsAnswer, voter_ids: abc.Set[str]
    ) -> tuple[KeptVersion, ...]:
        """Note an answer of another voter; return what to keep of it."""
        asking = self._asking
        if asking is None or answer.ticket != asking.ticket:
            return ()
        if answer.is_complete:
            asking.complete_ids.add(sender)
        if asking.is_answered(voter_ids):
            self.is_complete = True
            self._asking = None
        return answer.kept

    def tick(self, now: float, others: abc.Set[str]) -> Effects:
        """Ask the other voters until a majority has answered."""
        if self.is_complete or self._voter_since is None:
            return []
        if now - self._voter_since >= MAX_KEEP_S:
            # All streams that it was not told of have ended.
            self.is_complete = True
            return []
        if now - self._voter_since < self._settle_s:
            return []
        if self._asking is None:
            self._asking = _Asking(
                ticket=f'complete:{now}',
                services=(),
                began_at=now,
                resend_at=now,
            )
        if now < self._asking.resend_at:
            return []
        self._asking.resend_at = now + READY_RESEND_S
        return list(self._asking.ask(others, by_datagram=False))
