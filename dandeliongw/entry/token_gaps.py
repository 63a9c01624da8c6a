"""Measurement of the gaps between the tokens that a decode engine sends."""

#: Upper bound for the fraction of an answer's duration during which a slow
#: client held it up. The true gap can be that much smaller than the measured
#: one.
MAX_CLIENT_DELAY_FRACTION = 0.1


class TokenGapMeter:
    """Measures the mean gap between the tokens of one stream.

    All times are in seconds of one monotonic clock. A slow client looks like
    a slow engine, because TCP flow control stops the stream. An owner that
    took such a gap for the engine's would limit the batch size of an engine
    that is fast enough, and engines would stay limited to few streams. So
    answers that a client held up for too long are not measured.
    """

    def __init__(self) -> None:
        self._gaps = -1
        self._first_at = 0.0
        self._last_at = 0.0
        self._taken_at = 0.0
        self._held_s = 0.0

    def arrived(self, now: float) -> None:
        """Record the arrival of the engine's next token."""
        if self._gaps < 0:
            self._first_at = now
        else:
            # A delay after the last token is not part of a gap, so each one
            # is added only when the next token arrives.
            self._held_s += self._taken_at - self._last_at
        self._gaps += 1
        self._last_at = now

    def taken(self, now: float) -> None:
        """Record that the client has taken the token that arrived last."""
        self._taken_at = now

    @property
    def first_at(self) -> float | None:
        """When the first token arrived; ``None`` if none did."""
        return None if self._gaps < 0 else self._first_at

    @property
    def last_at(self) -> float | None:
        """When the last token arrived; ``None`` if none did."""
        return None if self._gaps < 0 else self._last_at

    @property
    def writing_s(self) -> float:
        """Seconds between the first and the last token so far."""
        return self._last_at - self._first_at

    @property
    def count(self) -> int:
        """Number of tokens that have arrived."""
        return self._gaps + 1

    def mean_s(self) -> float:
        """Return the mean gap in seconds; 0 if it was not measured."""
        whole_s = self._last_at - self._first_at
        if (
            self._gaps < 1
            or self._held_s > whole_s * MAX_CLIENT_DELAY_FRACTION
        ):
            return 0.0
        return whole_s / self._gaps
