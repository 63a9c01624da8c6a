"""Requests to replace or add voters, until their changes are proposed.

A voter is identified by its disk. So the new voter is queried for its disk id
first, and the change is proposed when it has answered.
"""

import typing

import msgspec

from . import changes
from . import parts
from . import proposer as proposers
from . import register_messages as messages
from . import register_state as state_module

#: Interval in seconds at which a new voter is queried for its disk id.
DISK_QUERY_EVERY_S = 0.25
#: Query ids are below this number.
QUERY_ID_LIMIT = 2**48

Effects = list[typing.Any]


class ReplaceVoter(msgspec.Struct, frozen=True, kw_only=True):
    """A request to replace a voter's disk or to add a voter.

    The daemon's repair of the voters posts it.

    :param instance_id: the voter to remove; ``''`` to add a voter without
        removing one.
    :param by: the instance to add; equal to ``instance_id`` when only its
        disk was lost.
    """

    now: float
    ticket: str
    change_id: str
    instance_id: str
    by: str
    entropy: int


class Replacements:
    """The requests whose new voters have not reported their disk ids yet.

    :param propose_limit_s: seconds after which a request is answered with
        ``Unavailable``.
    """

    def __init__(
        self,
        *,
        register_state: state_module.RegisterState,
        proposer: proposers.Proposer,
        propose_limit_s: float,
    ) -> None:
        self._register_state = register_state
        self._proposer = proposer
        self._propose_limit_s = propose_limit_s
        self._requests_by_ticket: dict[str, ReplaceVoter] = {}
        self._query_at = 0.0

    def add(self, request: ReplaceVoter) -> Effects:
        """Query the new voter; answer a resend from the change records."""
        if self._is_recorded(request.change_id):
            # The answer to a resend does not depend on the disk id.
            return self._propose(request, '', request.now)
        self._requests_by_ticket[request.ticket] = request
        self._query_at = request.now
        return self.tick(request.now)

    def tick(self, now: float) -> Effects:
        """Query the new voters for their disk ids until they answer."""
        effects = self._expire(now)
        if now < self._query_at:
            return effects
        self._query_at = now + DISK_QUERY_EVERY_S
        for request in self._requests_by_ticket.values():
            query = messages.DiskQuery(query_id=_query_id(request))
            effects.append(parts.Send(to=request.by, message=query))
        return effects

    def on_report(
        self, message: messages.DiskReport, now: float
    ) -> Effects | None:
        """Propose the change whose new voter has answered.

        :returns: ``None`` if the report answers no query of this class.
        """
        for ticket, request in self._requests_by_ticket.items():
            if message.query_id == _query_id(request):
                del self._requests_by_ticket[ticket]
                return self._on_disk_known(request, message.disk_id, now)
        return None

    def _on_disk_known(
        self, request: ReplaceVoter, disk_id: str | None, now: float
    ) -> Effects:
        if disk_id is not None:
            return self._propose(request, disk_id, now)
        refusal = changes.VoterRefused(message=f'{request.by!r} has no disk')
        return [parts.Complete(ticket=request.ticket, result=refusal)]

    def _propose(
        self, request: ReplaceVoter, disk_id: str, now: float
    ) -> Effects:
        change: changes.Change
        if request.instance_id:
            change = changes.VoterReplacement(
                change_id=request.change_id,
                author='',
                instance_id=request.instance_id,
                by=request.by,
                disk_id=disk_id,
            )
        else:
            change = changes.VoterAddition(
                change_id=request.change_id,
                author='',
                by=request.by,
                disk_id=disk_id,
            )
        job = proposers.Job(
            change=change,
            entropy=request.entropy,
            ticket=request.ticket,
            deadline=request.now + self._propose_limit_s,
        )
        return self._proposer.add(job, now)

    def _is_recorded(self, change_id: str) -> bool:
        known = self._register_state.known.current
        if known is None:
            return False
        return known.configuration.find_change(change_id) is not None

    def _expire(self, now: float) -> Effects:
        effects: Effects = []
        for ticket, request in list(self._requests_by_ticket.items()):
            if now < request.now + self._propose_limit_s:
                continue
            del self._requests_by_ticket[ticket]
            message = (
                f'{request.by!r} did not report its disk id in time; the '
                'change did not take effect: resend it with the same change id'
            )
            result = changes.Unavailable(message=message)
            effects.append(parts.Complete(ticket=ticket, result=result))
        return effects


def _query_id(request: ReplaceVoter) -> int:
    # Unique per request: a late answer to an earlier one may name a disk
    # that has been lost since.
    return request.entropy % QUERY_ID_LIMIT
