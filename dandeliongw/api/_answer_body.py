"""The body of an answer of a backend server, on its way to the caller."""

from collections import abc

from ..entry import relay

#: Bytes that are passed to the HTTP server at a time. It copies what it gets
#: before it writes it, so that a whole body would be held three times.
PIECE_BYTES = 65536


class AnswerBody:
    """Iterates over a body; gives its memory back when it was sent.

    WSGI servers close it at the end of the answer, whatever ended it.

    :param finished: the answer, whose memory is given back.
    """

    def __init__(self, *, finished: relay.Finished) -> None:
        self._finished = finished
        body = finished.outcome.body
        self._pieces = (
            body[at : at + PIECE_BYTES]
            for at in range(0, len(body), PIECE_BYTES)
        )

    def __iter__(self) -> abc.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._pieces)

    def close(self) -> None:
        self._pieces.close()
        self._finished.release()
