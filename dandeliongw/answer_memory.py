"""An account of the memory that backend servers' answers take.

A faulty backend server may send bytes without end. Limits on one answer don't
bound what many of them take together. When the account is full, the largest
answer that is still being read is broken off, as it is the most likely to have
no end; smaller ones go on.
"""

from collections import abc
import enum
import os
import threading
import typing

from . import message_framing

#: Charged for each answer from its call on: its head, what is read at once,
#: and the beginning of its body.
OPEN_BYTES = message_framing.MAX_HEAD_BYTES + message_framing.READ_BYTES
#: Reason of calls that fail because the account is full.
FULL = 'the answers of backend servers fill the memory of this instance'
#: Part of the machine's memory that is used by default.
DEFAULT_SHARE = 0.2


def default_capacity() -> int:
    """Return the bytes that are used if the settings don't say how many."""
    pages = os.sysconf('SC_PHYS_PAGES')
    return int(pages * os.sysconf('SC_PAGE_SIZE') * DEFAULT_SHARE)


class State(enum.Enum):
    """State of an answer that is held."""

    READING = 'reading'
    #: Its thread was told to give it up, and has not yet.
    BROKEN_OFF = 'broken_off'
    #: It was read whole; its caller may be slow to take it.
    COMPLETE = 'complete'
    RELEASED = 'released'


class Holding:
    """What is held of one answer, until it is released.

    Only its :class:`AnswerMemory` changes the attributes.

    :param break_off: frees what was read, and makes the thread that reads
        give up; called from other threads.
    """

    def __init__(
        self,
        *,
        memory: 'AnswerMemory',
        break_off: abc.Callable[[], typing.Any],
    ) -> None:
        self._memory = memory
        self.break_off = break_off
        self.size = 0
        self.state = State.READING

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes; return ``False`` if the answer must end."""
        return self._memory.resize(self, size)

    def complete(self, size: int) -> bool:
        """Note that the answer, of ``size`` bytes, was read whole.

        :returns: ``False`` if it was broken off before.
        """
        return self._memory.complete(self, size)

    def release(self) -> None:
        """Give everything back; further calls have no effect."""
        self._memory.release(self)


class AnswerMemory:
    """The account of one instance; thread-safe.

    An answer that was broken off counts no more: what was read of a body is
    freed at once, an unfinished line or event when its thread gives up.

    :param capacity_bytes: most bytes that are held at a time.
    """

    def __init__(self, *, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._lock = threading.Lock()
        self._reading: set[Holding] = set()
        self._bytes_by_state = dict.fromkeys(State, 0)
        #: Number of answers that were broken off, or not begun.
        self.without_room_count = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held, also of answers that were broken off."""
        return sum(self._bytes_by_state.values())

    def has_room(self) -> bool:
        """Return whether another call can be answered.

        No answer that was read whole is given up to make room.
        """
        complete = self._bytes_by_state[State.COMPLETE]
        return complete + OPEN_BYTES <= self._capacity_bytes

    def open(self, break_off: abc.Callable[[], typing.Any]) -> Holding | None:
        """Return the holding of an answer; ``None`` if there is no room.

        :param break_off: see :class:`Holding`.
        """
        holding = Holding(memory=self, break_off=break_off)
        with self._lock:
            if not self._make_room(holding, OPEN_BYTES):
                self.without_room_count += 1
                return None
            self._reading.add(holding)
            self._set(holding, State.READING, OPEN_BYTES)
        return holding

    def resize(self, holding: Holding, size: int) -> bool:
        """See :meth:`Holding.resize`."""
        with self._lock:
            if holding.state is not State.READING:
                return False
            if not self._make_room(holding, size):
                self._break_off(holding)
                return False
            self._set(holding, State.READING, size)
            return True

    def complete(self, holding: Holding, size: int) -> bool:
        """See :meth:`Holding.complete`."""
        with self._lock:
            if holding.state is not State.READING:
                return False
            self._reading.discard(holding)
            self._set(holding, State.COMPLETE, size)
            return True

    def release(self, holding: Holding) -> None:
        """See :meth:`Holding.release`."""
        with self._lock:
            self._reading.discard(holding)
            self._set(holding, State.RELEASED, 0)

    def _set(self, holding: Holding, state: State, size: int) -> None:
        self._bytes_by_state[holding.state] -= holding.size
        self._bytes_by_state[state] += size
        holding.state, holding.size = state, size

    def _make_room(self, holding: Holding, size: int) -> bool:
        """Break off larger answers until one of ``size`` bytes fits.

        :returns: whether it fits; not if itself is the largest.
        """
        while (
            self._bytes_by_state[State.READING]
            + self._bytes_by_state[State.COMPLETE]
            + size
            - holding.size
            > self._capacity_bytes
        ):
            largest = max(self._reading, key=_size, default=holding)
            if largest is holding or largest.size <= size:
                return False
            self._break_off(largest)
        return True

    def _break_off(self, holding: Holding) -> None:
        self._reading.discard(holding)
        self._set(holding, State.BROKEN_OFF, holding.size)
        self.without_room_count += 1
        holding.break_off()


def _size(holding: Holding) -> int:
    return holding.size
