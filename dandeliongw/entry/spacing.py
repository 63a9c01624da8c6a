"""How far apart the tokens of one answer come from its decode engine."""

#: Largest part of an answer's time that its caller may have held it up.
#: The true gap can be that much smaller than the one that is measured.
MOST_HELD = 0.1


class Spacing:
    """Measures the mean gap between the tokens of one stream.

    All times are in seconds of one monotonic clock. What a slow caller holds
    up looks like a slow engine: TCP stops the stream, and an owner that took
    the gap for the engine's would cap a batch that is in time. One would
    notice capped engines with few streams. So such an answer tells nothing.
    """

    def __init__(self) -> None:
        self._gaps = -1
        self._first_at = 0.0
        self._last_at = 0.0
        self._taken_at = 0.0
        self._held_s = 0.0

    def arrived(self, now: float) -> None:
        """Take in that the engine's next token is here."""
        if self._gaps < 0:
            self._first_at = now
        else:
            # The hold after the last token is none of the gaps.
            self._held_s += self._taken_at - self._last_at
        self._gaps += 1
        self._last_at = now

    def taken(self, now: float) -> None:
        """Take in that the caller has the token that arrived last."""
        self._taken_at = now

    @property
    def first_at(self) -> float | None:
        """When the first token came; ``None`` if none did."""
        return None if self._gaps < 0 else self._first_at

    def mean_s(self) -> float:
        """Return the mean gap in seconds; zero if it can't be told."""
        whole_s = self._last_at - self._first_at
        if self._gaps < 1 or self._held_s > whole_s * MOST_HELD:
            return 0.0
        return whole_s / self._gaps
