"""Calls that arrive before an instance has its first configuration."""

import msgspec

from .. import events
from . import admission


class StartupQueue(msgspec.Struct, kw_only=True):
    """Queues calls until there is a configuration to admit them under.

    An instance accepts calls as soon as its port is open and receives the
    configuration a little later. After a power failure, that takes some 0.7 s
    on all instances at once. A call that is refused then finds no better
    entry, and its client retries only when the latency target is missed. A
    queued call starts as soon as the configuration arrives.

    :param directory: the instance's view of the configuration.
    :param startup_s: seconds after the start during which calls are queued.
    """

    directory: admission.Directory
    startup_s: float
    #: When the instance started; ``None`` before its first event.
    began_at: float | None = None
    calls_by_id: dict[str, events.RequestArrived] = msgspec.field(
        default_factory=dict
    )

    def note_start(self, now: float) -> None:
        """Record the start of the instance; only the first call counts."""
        if self.began_at is None:
            self.began_at = now

    def must_wait(self, event: events.RequestArrived) -> bool:
        """Whether a call cannot be admitted yet but may be soon."""
        return self._is_starting(event.now) and not self._has_configuration(
            event.now, event.call
        )

    def add(self, event: events.RequestArrived) -> None:
        """Queue a call."""
        self.calls_by_id[event.request_id] = event

    def remove(self, request_id: str) -> bool:
        """Remove a call whose client has disconnected, if it is queued.

        :return: whether it was queued.
        """
        return self.calls_by_id.pop(request_id, None) is not None

    def pop_due(self, now: float) -> list[events.RequestArrived]:
        """Remove and return the calls that need not wait any longer.

        Either they can be admitted, or their deadline or the start-up period
        has passed.
        """
        over = [
            event
            for event in self.calls_by_id.values()
            if not self._is_starting(now)
            or self._has_configuration(now, event.call)
            or _is_late(now, event)
        ]
        for event in over:
            del self.calls_by_id[event.request_id]
        return over

    def _is_starting(self, now: float) -> bool:
        return (
            not self.directory.is_draining
            and self.began_at is not None
            and now < self.began_at + self.startup_s
        )

    def _has_configuration(self, now: float, call: events.Call) -> bool:
        if not self.directory.is_fresh(now):
            return False
        return not call.host or bool(self.directory.document.host_routes)


def _is_late(now: float, event: events.RequestArrived) -> bool:
    deadline_s = event.call.deadline_s
    return deadline_s is not None and now >= event.now + deadline_s
