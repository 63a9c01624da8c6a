"""How full an engine's KV cache will get with the work that it has.

An answer's cache grows with each token and is free again at its end. Work
that began at different times ends at different times, so an engine never
holds the whole of all answers at once; counting as if it did would leave a
tenth of its memory unused.
"""

from collections import abc

import msgspec

#: Part of the cache that forecasts may fill. Lengths of answers are guesses;
#: the sum over some ten of them errs by about 4 in 100.
FILL_PART = 0.95


class Growth(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of work in an engine's cache.

    :param held: tokens that it holds now.
    :param ends_in_s: seconds until its end, when it holds nothing any more.
    """

    held: float
    ends_in_s: float


def peak_tokens(growths: abc.Sequence[Growth], tokens_per_s: float) -> float:
    """Return the most tokens that this work will hold at one time.

    The sum grows steadily between two ends, so the most is held right before
    one of them.

    :param tokens_per_s: at which each piece of work grows.
    """
    most = 0.0
    held = 0.0
    count = 0
    for growth in sorted(growths, key=lambda each: -each.ends_in_s):
        held += growth.held
        count += 1
        most = max(most, held + count * growth.ends_in_s * tokens_per_s)
    return most
