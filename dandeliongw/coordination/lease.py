"""Leases with epochs: at most one instance holds a name at a time.

A majority of the voters grants a lease for a short time; its holder renews
it. Each new holder gets a higher epoch, which it sends with its orders as
the fencing token. docs/LEASES.md explains why this is safe, and
specs/lease_spec.py checks it.
"""

from collections import abc
import typing

from . import lease_catchup
from . import lease_grantor
from . import lease_holder
from . import lease_messages as messages
from . import lease_quorum
from . import parts
from .lease_messages import GrantorCaughtUp
from .lease_messages import GrantorsChanged
from .lease_messages import GrantorsFormed
from .lease_messages import LeaseGained
from .lease_messages import LeaseLost
from .lease_messages import Release
from .lease_messages import RenewalOverdue
from .lease_messages import Wanted

__all__ = [
    'GrantorCaughtUp',
    'GrantorsChanged',
    'GrantorsFormed',
    'LeaseGained',
    'LeaseLost',
    'Leases',
    'Release',
    'RenewalOverdue',
    'Wanted',
]


class Leases:
    """The lease part of one instance: holder, and grantor if a voter.

    :param instance_id: id of this instance.
    :param is_grantor: whether it has a journal and grants leases.
    :param duration_s: length of a lease in seconds; the same on all
        instances.
    :param margin_s: safety margin for clock drift, in seconds: a holder
        stops this much earlier, and others wait this much longer.
    :param renew_s: seconds between renewals.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        is_grantor: bool,
        duration_s: float = 2.0,
        margin_s: float = 0.25,
        renew_s: float = 0.5,
    ) -> None:
        self.instance_id = instance_id
        self.is_grantor = is_grantor
        self._holder = lease_holder.Holder(
            instance_id=instance_id,
            duration_s=duration_s,
            margin_s=margin_s,
            renew_s=renew_s,
        )
        self._grantor = lease_grantor.Grantor(
            instance_id=instance_id,
            duration_s=duration_s,
            margin_s=margin_s,
        )
        self._catch_up = lease_catchup.CatchUp(
            own_grantor=self._grantor, resend_s=renew_s
        )

    @property
    def outcomes_by_label(self) -> abc.Mapping[str, int]:
        """Number of answers of this grantor by outcome, for the metrics."""
        return self._grantor.outcomes_by_label

    def epoch_if_held(self, name: str, now: float) -> int | None:
        """Return the epoch if this instance holds the lease at ``now``.

        Call it with a fresh reading of the monotonic clock just before each
        send that only the holder may make.
        """
        return self._holder.epoch_if_held(name, now)

    def epoch_for_unfenced_order(
        self, name: str, now: float, longest_order_s: float
    ) -> int | None:
        """Return the epoch if engines without fencing may get an order.

        :param longest_order_s: most seconds from the check before an order's
            send until the order takes effect.
        """
        return self._holder.epoch_for_unfenced_order(
            name, now, longest_order_s
        )

    def is_renewal_overdue(self, now: float) -> bool:
        """Return whether the next event must be :class:`RenewalOverdue`."""
        return self._holder.is_renewal_overdue(now)

    def known_holder(self, name: str) -> str | None:
        """Return the last known holder of a name; it may be out of date."""
        return self._holder.known_holder(name)

    def restore(self, record: typing.Any) -> None:
        """Replay one journal record at startup."""
        if self.is_grantor:
            self._grantor.restore(record)

    def snapshot(self) -> list[typing.Any]:
        """Return the records from which :meth:`restore` restores the state."""
        return self._grantor.snapshot()

    def handle(self, event: typing.Any) -> list[typing.Any]:
        """Apply one event and return the effects to perform.

        :raises TypeError: for an event of another part.
        """
        if isinstance(event, parts.Persisted):
            return self._grantor.on_persisted(event.token)
        self._grantor.start(event.now)
        if isinstance(event, RenewalOverdue):
            return self._holder.expire(event.now) + self._holder.renew(
                event.now
            )
        if isinstance(event, parts.Received) and isinstance(
            event.message, messages.LeaseAnswers
        ):
            # Counted before the expiry: the answers may have waited here
            # while this instance was busy.
            return self._on_received(event) + self._holder.expire(event.now)
        effects = self._holder.expire(event.now)
        if isinstance(event, parts.Ticked):
            return effects + self._on_ticked(event)
        if isinstance(event, parts.Received):
            return effects + self._on_received(event)
        if isinstance(event, Wanted):
            return effects + self._holder.want(event.names)
        if isinstance(event, Release):
            successor = event.successor or ''
            return effects + self._holder.release(event.name, successor)
        if isinstance(event, GrantorsChanged):
            return effects + self._on_grantors_changed(event)
        if isinstance(event, GrantorsFormed):
            return effects + self._on_grantors_formed()
        raise TypeError(f'leases do not handle this event: {event!r}')

    def _on_ticked(self, event: parts.Ticked) -> list[typing.Any]:
        effects = self._catch_up.on_tick(event.now, event.entropy)
        return effects + self._holder.on_tick(event.now, event.entropy)

    def _on_received(self, event: parts.Received) -> list[typing.Any]:
        message = event.message
        if isinstance(message, messages.LeaseAnswers):
            return self._holder.on_answers(event.now, event.sender, message)
        if isinstance(message, messages.LeaseVacant):
            return self._holder.on_vacant(event.now, event.sender, message)
        if not self.is_grantor:
            return []
        if isinstance(message, messages.LeaseClaims):
            return self._grantor.on_claims(event.now, event.sender, message)
        if isinstance(message, messages.LeaseRelease):
            return self._grantor.on_release(event.now, event.sender, message)
        if isinstance(message, messages.LeaseEpochsWanted):
            return self._grantor.on_epochs_wanted(event.sender, message)
        if isinstance(message, messages.LeaseEpochs):
            return self._catch_up.on_epochs(event.now, event.sender, message)
        return []

    def _on_grantors_changed(self, event: GrantorsChanged) -> list[typing.Any]:
        changed = lease_quorum.Quorum(
            grantors=event.grantors, joining=event.joining
        )
        self._holder.change_quorum(event.version, changed)
        if self.is_grantor:
            self._catch_up.change_grantors(event.now, event.version, changed)
        return []

    def _on_grantors_formed(self) -> list[typing.Any]:
        if not self.is_grantor or self._grantor.ready:
            return []
        self._catch_up.stop()
        return self._grantor.form()
