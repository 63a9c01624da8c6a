"""The confirmation status of the configuration that an instance acts on."""

import typing

import msgspec


class ConfirmationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration and the age of its last confirmation.

    :param revision: ``None`` before the first configuration.
    :param order: the highest number of an ordered change in it.
    :param confirmed_age_s: seconds since the request that confirmed it last
        was sent; ``None`` without a confirmation by voters, as when it was
        only learned from another instance.
    :param is_confirmed: whether that age is within the TTL.
    """

    revision: int | None
    order: int = 0
    confirmed_age_s: float | None = None
    is_confirmed: bool = False

    def __str__(self) -> str:
        if self.revision is None:
            return 'no configuration'
        held = f'revision {self.revision}, number {self.order}'
        if self.confirmed_age_s is None:
            return f'{held}, never confirmed here'
        return f'{held}, confirmed {self.confirmed_age_s:.2f} s ago'


class ConfirmationLapsed(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: the last confirmation has expired.

    :param status: the status at that moment.
    :param asks: number of confirmation requests sent since the last one that
        was answered in time.
    :param late_answers: number of answers to requests that had timed out.
        If it is high, the voters are healthy but the network path to them is
        slow.
    """

    status: ConfirmationStatus
    asks: int
    late_answers: int


class ConfirmationRegained(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: the configuration is confirmed again.

    :param lapsed_s: for how many seconds it was not.
    """

    status: ConfirmationStatus
    lapsed_s: float


class ConfirmationMonitor:
    """Reports when the confirmation expires and when it is regained."""

    def __init__(self) -> None:
        self._lapsed_at: float | None = None

    def tick(
        self,
        now: float,
        status: ConfirmationStatus,
        *,
        asks: int,
        late_answers: int,
    ) -> list[typing.Any]:
        """Return an effect if the status has changed since the last tick.

        Nothing is reported before the first configuration.

        :param asks: see :class:`ConfirmationLapsed`.
        :param late_answers: likewise.
        """
        if status.revision is None:
            return []
        if status.is_confirmed:
            return self._regained(now, status)
        if self._lapsed_at is not None:
            return []
        self._lapsed_at = now
        return [
            ConfirmationLapsed(
                status=status,
                asks=asks,
                late_answers=late_answers,
            )
        ]

    def _regained(
        self, now: float, status: ConfirmationStatus
    ) -> list[typing.Any]:
        if self._lapsed_at is None:
            return []
        lapsed_s, self._lapsed_at = now - self._lapsed_at, None
        return [ConfirmationRegained(status=status, lapsed_s=lapsed_s)]
