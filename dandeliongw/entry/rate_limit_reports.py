"""Reports the rate limits that answers state to the owners of cells."""

import typing

import msgspec

from .. import events
from . import admission
from ..cell import cells
from ..cell import rate_limits as rate_limits_module
from ..coordination import parts
from ..coordination import presence
from . import rate_limit_watch
from .request import Request

#: Seconds after which a limit that hasn't changed is reported again.
REPORT_INTERVAL_S = 0.25

Effects = list[typing.Any]


class _Report(msgspec.Struct, frozen=True, kw_only=True):
    """A limit that was reported to an owner."""

    owner: str
    per_s: float
    at: float


class RateLimitReports:
    """Records what answers state, tells it to the cell's owner, and logs it.

    :param rate_limits: the limits that are known here.
    """

    def __init__(
        self,
        *,
        directory: admission.Directory,
        rate_limits: rate_limits_module.RateLimits,
    ) -> None:
        self._directory = directory
        self._rate_limits = rate_limits
        self._watch = rate_limit_watch.RateLimitWatch()
        self._last_by_start: dict[presence.BackendStart, _Report] = {}

    @property
    def stated_count(self) -> int:
        """Answers that stated a limit, since the start of this process."""
        return self._watch.stated_count

    def record(
        self, event: events.RateLimitStated, request: Request
    ) -> Effects:
        """Record what the answer to a step of a request states."""
        start = request.booked_backend(event.step).start
        if event.per_s is None:
            self._rate_limits.lift(
                start.backend_id, start.incarnation, asked_at=request.phase_at
            )
        else:
            limit = rate_limits_module.RateLimit(
                backend_id=start.backend_id,
                incarnation=start.incarnation,
                per_s=event.per_s,
            )
            self._rate_limits.record(event.now, limit)
        lines = self._watch.record(
            start,
            service=request.service,
            request_id=request.request_id,
            per_s=event.per_s,
        )
        return [*lines, *self._report(event, request, start)]

    def _report(
        self,
        event: events.RateLimitStated,
        request: Request,
        start: presence.BackendStart,
    ) -> Effects:
        owner = self._owner(request)
        if not owner or self._is_repeat(event, owner, start):
            return []
        report = cells.RateLimitReported(
            cell=request.cell,
            backend_id=start.backend_id,
            incarnation=start.incarnation,
            per_s=event.per_s,
            age_s=event.now - request.phase_at,
        )
        return [parts.Send(to=owner, message=report)]

    def _owner(self, request: Request) -> str:
        if not request.is_unowned:
            return request.owner
        owners = self._directory.owners_of(request.cell)
        return owners[0] if owners else ''

    def _is_repeat(
        self,
        event: events.RateLimitStated,
        owner: str,
        start: presence.BackendStart,
    ) -> bool:
        """Return whether the owner was told the same just before."""
        last = self._last_by_start.pop(start, None)
        if event.per_s is None:
            return False
        if (
            last is not None
            and (last.owner, last.per_s) == (owner, event.per_s)
            and event.now < last.at + REPORT_INTERVAL_S
        ):
            self._last_by_start[start] = last
            return True
        if len(self._last_by_start) >= rate_limits_module.MAX_KNOWN:
            del self._last_by_start[next(iter(self._last_by_start))]
        self._last_by_start[start] = _Report(
            owner=owner, per_s=event.per_s, at=event.now
        )
        return False
