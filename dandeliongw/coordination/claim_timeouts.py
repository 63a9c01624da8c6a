"""Timeout and resend interval of an entry's requests to claim holders."""

import msgspec


#: Timeout of a ``Begin``, ``Finish`` or withdrawal, in round trips.
GIVE_UP_ROUND_TRIPS = 10
#: Unanswered messages are resent after this many round trips.
RESEND_ROUND_TRIPS = 2


class ClaimTimeouts(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts in seconds, derived from the round-trip time.

    :param round_trip_s: expected seconds for a round trip to a holder,
        including its disk sync.
    """

    round_trip_s: float

    @property
    def give_up_s(self) -> float:
        """Seconds after which an unfinished operation ends."""
        return GIVE_UP_ROUND_TRIPS * self.round_trip_s

    @property
    def resend_s(self) -> float:
        """Seconds after which an unanswered message is sent again."""
        return RESEND_ROUND_TRIPS * self.round_trip_s
