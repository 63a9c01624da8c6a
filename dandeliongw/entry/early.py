"""Calls that come before an instance knows its first configuration."""

import msgspec

from .. import events
from . import admission


class EarlyCalls(msgspec.Struct, kw_only=True):
    """Keeps calls until there is a configuration to admit them under.

    An instance takes calls as soon as its port is open, and hears of the
    configuration a little later. After a loss of power that is some 0.7 s on
    all instances at once: a call that is turned away then finds no better
    entry, and its caller is back only when the target is missed. Kept, it
    starts with the configuration.

    :param directory: tells whether there is a configuration.
    :param most_s: seconds after the start in which calls are kept.
    """

    directory: admission.Directory
    most_s: float
    #: When the instance began; ``None`` before its first event.
    began_at: float | None = None
    calls_by_id: dict[str, events.RequestArrived] = msgspec.field(
        default_factory=dict
    )

    def begin(self, now: float) -> None:
        """Take in that the instance runs; only the first time counts."""
        if self.began_at is None:
            self.began_at = now

    def must_wait(self, event: events.RequestArrived) -> bool:
        """Whether a call can't be admitted yet, and soon may be."""
        return self._is_starting(event.now) and not self._knows(
            event.now, event.call
        )

    def add(self, event: events.RequestArrived) -> None:
        """Keep a call."""
        self.calls_by_id[event.request_id] = event

    def forget(self, request_id: str) -> bool:
        """Return whether a call was kept, whose caller has gone."""
        return self.calls_by_id.pop(request_id, None) is not None

    def take(self, now: float) -> list[events.RequestArrived]:
        """Return the calls whose wait is over, one way or the other."""
        over = [
            event
            for event in self.calls_by_id.values()
            if not self._is_starting(now)
            or self._knows(now, event.call)
            or _is_late(now, event)
        ]
        for event in over:
            del self.calls_by_id[event.request_id]
        return over

    def _is_starting(self, now: float) -> bool:
        return (
            not self.directory.is_draining
            and self.began_at is not None
            and now < self.began_at + self.most_s
        )

    def _knows(self, now: float, call: events.Call) -> bool:
        if not self.directory.is_fresh(now):
            return False
        return not call.host or bool(self.directory.document.host_routes)


def _is_late(now: float, event: events.RequestArrived) -> bool:
    deadline_s = event.call.deadline_s
    return deadline_s is not None and now >= event.now + deadline_s
