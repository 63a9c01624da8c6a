"""Progress of an answer: whether an engine has gone on writing it."""

#: Pieces that an engine writes before it counts as one that went on. One that
#: crashes as it begins to write may have sent the first ones.
MIN_PIECES = 3
#: Seconds for which it writes on an answer that is not complete.
MIN_WRITING_S = 1.0


def has_gone_on(pieces: int, wrote_s: float) -> bool:
    """Return whether an engine went on with an answer it has not completed.

    A part of a prompt that crashes engines does so as they begin to write.

    :param pieces: that it wrote.
    :param wrote_s: seconds between the first and the last of them.
    """
    return pieces >= MIN_PIECES and wrote_s >= MIN_WRITING_S
