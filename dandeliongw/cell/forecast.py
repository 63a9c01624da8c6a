"""Forecasts the peak use of an engine's KV cache.

The cache of an answer grows with each token and is freed at its end. Answers
that began at different times end at different times, so an engine never holds
the full length of all answers at once. Counting the sum of the full lengths
would leave a tenth of its memory unused.
"""

from collections import abc
import operator
import typing

#: Part of the cache that forecasts may fill. Lengths of answers are estimates;
#: the sum over some ten of them is off by about 4 in 100.
MAX_FILL = 0.95


class Growth(typing.NamedTuple):
    """The growth of one booking in an engine's KV cache.

    :param ends_in_s: seconds until its end, when its tokens are freed.
    :param held: tokens that it holds now.
    """

    ends_in_s: float
    held: float


_ENDS_IN_S = operator.itemgetter(0)


def peak_tokens(
    growths: abc.Sequence[Growth | tuple[float, float]], tokens_per_s: float
) -> float:
    """Return the most tokens that these bookings will hold at one time.

    The sum grows steadily between two ends, so the peak is right before one
    of them.

    :param growths: plain tuples are faster to make.
    :param tokens_per_s: growth of each booking.
    """
    most = 0.0
    held = 0.0
    count = 0
    for ends_in_s, held_now in sorted(growths, key=_ENDS_IN_S, reverse=True):
        held += held_now
        count += 1
        before_end = held + count * ends_in_s * tokens_per_s
        if before_end > most:
            most = before_end
    return most
