"""How an instance ends: it interrupts nothing that callers rely on.

It leaves the entries at once, serves whoever still holds its address for the
time that callers keep it, refuses after that, waits for what is in flight,
and is then gone.
"""

import typing

import msgspec

from . import directory as directory_module
from . import effects
from . import settings as settings_module
from .cell import succession as succession_module
from .coordination import membership
from .entry import admission
from .entry import requests

#: Seconds that requests get to tell their callers that they are cut off.
CUT_OFF_S = 2.0


class HandOver(msgspec.Struct, frozen=True, kw_only=True):
    """Event: this instance is draining; its cells need other owners."""

    now: float


class Left(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the leave of this instance is on its way to the others."""

    now: float


class Shutdown:
    """Nothing until :meth:`begin`; then the steps, one after the other."""

    def __init__(
        self,
        *,
        timeouts: settings_module.Timeouts,
        directory: directory_module.Directory,
        gate: admission.Admission,
        running: requests.Requests,
        succession: succession_module.Succession,
    ) -> None:
        self._timeouts = timeouts
        self._directory = directory
        self._gate = gate
        self._requests = running
        self._succession = succession
        self._began_at: float | None = None
        self._cut_off: int | None = None
        self._has_left = False

    @property
    def is_leaving(self) -> bool:
        """Whether it has begun; read by other threads too."""
        return self._began_at is not None

    def begin(self, now: float) -> list[typing.Any]:
        """Leave the entries, but serve those who still hold the address.

        Callers keep an answer of ``GET /v1/entries`` for its time to live.
        Refusing at once would fail calls of callers who did nothing wrong.
        """
        if self._began_at is not None:
            return []
        self._began_at = now
        draining = membership.SetDraining(now=now, draining=True)
        return [
            effects.log('shutdown begins'),
            effects.Dispatch(event=draining),
            effects.Dispatch(event=HandOver(now=now)),
        ]

    def hand_over(self, event: HandOver) -> list[typing.Any]:
        """Give the cells away, now that no ranking counts this instance."""
        return self._succession.hand_over(event.now)

    def tick(self, now: float) -> list[typing.Any]:
        """Take the next step when its time has come."""
        if self._began_at is None or self._has_left:
            return []
        past_ttl_s = now - self._began_at - self._timeouts.entries_ttl_s
        if past_ttl_s < 0:
            return []
        self._directory.is_draining = True
        bound_s = self._timeouts.shutdown_s
        out: list[typing.Any] = []
        if past_ttl_s >= bound_s and self._cut_off is None:
            # A caller that never reads would keep the process for good.
            self._cut_off = self._gate.in_flight
            out = self._requests.cut_off(now)
        if self._gate.in_flight and past_ttl_s < bound_s + CUT_OFF_S:
            return out
        self._has_left = True
        return [
            *out,
            effects.Dispatch(event=membership.Leave(now=now)),
            effects.log(f'leaves with {self._gate.in_flight} in flight'),
            effects.Dispatch(event=Left(now=now)),
        ]

    def left(self, event: Left) -> list[typing.Any]:
        """The others have been told; the process may end."""
        return [effects.Drained(cut_off=self._cut_off or 0)]
