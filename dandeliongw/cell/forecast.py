"""Forecasts the peak use of an engine's KV cache.

The cache of an answer grows with each token and is freed at its end. Answers
that began at different times end at different times, so an engine never holds
the full length of all answers at once. Counting the sum of the full lengths
would leave a tenth of its memory unused.
"""

from collections import abc

import msgspec

#: Part of the cache that forecasts may fill. Lengths of answers are estimates;
#: the sum over some ten of them is off by about 4 in 100.
MAX_FILL = 0.95


class Growth(msgspec.Struct, frozen=True, kw_only=True):
    """The growth of one booking in an engine's KV cache.

    :param held: tokens that it holds now.
    :param ends_in_s: seconds until its end, when its tokens are freed.
    """

    held: float
    ends_in_s: float


def peak_tokens(growths: abc.Sequence[Growth], tokens_per_s: float) -> float:
    """Return the most tokens that these bookings will hold at one time.

    The sum grows steadily between two ends, so the peak is right before one
    of them.

    :param tokens_per_s: growth of each booking.
    """
    most = 0.0
    held = 0.0
    count = 0
    for growth in sorted(growths, key=lambda each: -each.ends_in_s):
        held += growth.held
        count += 1
        most = max(most, held + count * growth.ends_in_s * tokens_per_s)
    return most
