"""How long an entry's work on claims waits, resends, and gives up."""

import msgspec


#: A ``Begin``, ``Finish`` or withdrawal is given up after so many.
GIVE_UP_ROUND_TRIPS = 10
#: Unanswered messages are sent again after so many.
RESEND_ROUND_TRIPS = 2


class Patience(msgspec.Struct, frozen=True, kw_only=True):
    """Durations in seconds.

    :param round_trip_s: expected time to a holder and back, with its sync.
    """

    round_trip_s: float

    @property
    def give_up_s(self) -> float:
        """After this, what has no answer is given up."""
        return GIVE_UP_ROUND_TRIPS * self.round_trip_s

    @property
    def resend_s(self) -> float:
        """After this, what has no answer is sent again."""
        return RESEND_ROUND_TRIPS * self.round_trip_s
