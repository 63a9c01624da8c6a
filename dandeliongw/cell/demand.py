"""Does more work come than the engines of a cell carry?

Answers the load of a bunch of callers, twice what the engines carry for some
seconds. Work that can't be in time any more is then passed by all that comes
after it, until the bunch is over: told to wait, it would wait its whole time
and be turned away after all. In one such play 142 of 188 refusals came after
more than two seconds.
"""

from .shares import Flow

#: How fast the rate of arrivals forgets, in seconds. Bunches last for some
#: seconds; a slower rate would see them when they are over.
FADES_S = 2.0
#: Part of what the engines carry that must be left over for late work to be
#: let in. Estimate: below it a wait would be ten times as long as without
#: those who pass.
LEAST_LEFT = 0.1


class Demand:
    """Compares new callers, who can be in time, with what is carried."""

    def __init__(self) -> None:
        self._arrivals = Flow(fades_s=FADES_S)

    def note(self, now: float) -> None:
        """Count a new caller."""
        self._arrivals.add(now, 1.0)

    def left_part(self, now: float, carried_per_s: float | None) -> float:
        """Return the part of what is carried that is left for late work.

        :param carried_per_s: requests a second; ``None`` if unknown.
        """
        if not carried_per_s:
            return 1.0
        return max(0.0, 1.0 - self._arrivals.rate(now) / carried_per_s)

    def is_too_much(self, now: float, carried_per_s: float | None) -> bool:
        """Return whether nothing is left for late work."""
        return self.left_part(now, carried_per_s) < LEAST_LEFT
