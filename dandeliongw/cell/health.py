"""Outlier detection: when a backend server is ejected, and its slow start."""

import math

import msgspec

#: Number of faults within the window that ejects a backend server, if the
#: next two conditions hold as well.
FAULTS_TO_EJECT = 3
FAULT_WINDOW_S = 5.0
#: Least failure rate, of the work that ended in the window. Some services
#: fail one call in ten all the time, on every backend server.
MIN_FAILURE_RATE = 0.34
#: Least failure rate, as a multiple of the peers' rate. Faults that all share,
#: such as answers that the network loses, are no reason to eject one of them.
PEER_RATE_FACTOR = 1.5
#: A failure rate above this is never attributed to shared faults.
MAX_SHARED_RATE = 0.8
#: Number of calls that must have ended on a server before its failure rate is
#: compared with that of its peers.
MIN_ENDED = 3
#: Duration of the first ejection, and the longest one, in seconds.
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
#: Pause between bookings at the begin of slow start, in seconds.
SLOW_START_PAUSE_S = 1.0
#: Parts of the token gap's target: the cap is lowered above the first, and
#: raised below the second.
GAP_HIGH = 0.95
GAP_LOW = 0.90
#: Pause between two changes of the cap, in seconds.
CAP_PAUSE_S = 1.0
#: Duration of slow start, from one slot to all of them, in seconds.
SLOW_START_S = 4.0
#: This long after the end of the last ejection, earlier ones no longer
#: lengthen the next: a few fault windows have passed without a reason for one.
EJECTIONS_RESET_S = 15.0


class Health(msgspec.Struct, kw_only=True, eq=False):
    """Whether a backend server may get new work, and on how many slots.

    One that keeps failing is ejected, for longer each time, and then goes
    through slow start. Without this, requests would go on failing on it, and
    there would be a steady stream of retries. A new one goes through slow
    start as well, as its caches are cold.
    """

    recent_faults: list[float] = msgspec.field(default_factory=list)
    recent_successes: list[float] = msgspec.field(default_factory=list)
    ejected_until: float = 0.0
    ejections: int = 0
    #: Begin of its slow start: when it appeared, or its last ejection ended.
    #: ``None`` if it was there when the cell was created.
    slow_start_at: float | None = None
    #: When it was last booked.
    last_booked_at: float = -math.inf
    #: Whether its ejection was logged, and its recovery not yet.
    is_ejection_logged: bool = False
    #: Whether a connection failed, and no work has succeeded since.
    refuses_connections: bool = False
    #: Whether some work succeeded recently, or did before its last ejection;
    #: true for a new one.
    is_partly_working: bool = True
    #: Failure rate at its last ejection.
    failure_rate_at_ejection: float = 0.0

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until

    def is_limited(self, now: float) -> bool:
        """Return whether it is ejected or in slow start."""
        return (
            self.slow_start_at is not None
            and now < self.slow_start_at + SLOW_START_S
        )

    def open_fraction(self, now: float) -> float:
        """Return the part of its slots that may be used now, from 0 to 1."""
        if self.slow_start_at is None or not self.is_limited(now):
            return 1.0
        return max(0.0, (now - self.slow_start_at) / SLOW_START_S)

    def may_get_work(self, now: float) -> bool:
        """Return whether it may get new work now.

        A fault may take seconds to show. During slow start, bookings are
        spaced out, so that little work is lost if the fault persists.
        """
        if now < self.ejected_until:
            return False
        if self.slow_start_at is None:
            return now >= self.last_booked_at
        pause_s = SLOW_START_PAUSE_S * (1.0 - self.open_fraction(now))
        return now >= self.last_booked_at + pause_s

    def add_fault(self, now: float, shared_rate: float = 0.0) -> None:
        """Record a fault, and eject the backend server if there are too many.

        Faults that come in during an ejection are of work that was placed
        before, and don't count again.

        :param shared_rate: the peers' mean failure rate, from 0 to 1.
        """
        if self.is_ejected(now):
            return
        self._drop_old(now)
        self.recent_faults.append(now)
        needed = 1 if self._was_just_ejected(now) else FAULTS_TO_EJECT
        has_enough_faults = len(self.recent_faults) >= needed
        if has_enough_faults and self._is_failure_rate_high(shared_rate):
            self.failure_rate_at_ejection = self._failure_rate()
            self._eject(now)

    def add_connection_failure(self, now: float) -> None:
        """Eject a backend server to which no connection could be made.

        One is enough: a dead server refuses every connection, and each
        costs a request an attempt.
        """
        self.refuses_connections = True
        self.is_partly_working = False
        if self.is_ejected(now):
            return
        self._eject(now)
        # No slow start: a failing connection shows at once and costs little,
        # while slow start would leave slots unused for seconds.
        self.slow_start_at = self.ejected_until - SLOW_START_S

    def add_success(self, now: float) -> None:
        """Record work that ended successfully."""
        self.refuses_connections = False
        self.is_partly_working = True
        self._drop_old(now)
        self.recent_successes.append(now)

    def failure_rate(self, now: float) -> float | None:
        """Return its failure rate, from 0 to 1; ``None`` if unknown.

        During an ejection this is the rate that led to it.
        """
        if self.is_ejected(now):
            return (
                None
                if self.refuses_connections
                else self.failure_rate_at_ejection
            )
        faults, ended = self.count_recent(now)
        return faults / ended if ended >= MIN_ENDED else None

    def count_recent(self, now: float) -> tuple[int, int]:
        """Return the numbers of faults and of ended work in the window."""
        self._drop_old(now)
        faults = len(self.recent_faults)
        return faults, faults + len(self.recent_successes)

    def _drop_old(self, now: float) -> None:
        since = now - FAULT_WINDOW_S
        self.recent_faults = [at for at in self.recent_faults if at > since]
        self.recent_successes = [
            at for at in self.recent_successes if at > since
        ]

    def _was_just_ejected(self, now: float) -> bool:
        """Return whether one fault may be enough to eject it again.

        That holds during slow start after an ejection.
        """
        return self.ejections > 0 and self.is_limited(now)

    def _failure_rate(self) -> float:
        ended = len(self.recent_faults) + len(self.recent_successes)
        return len(self.recent_faults) / max(1, ended)

    def _is_failure_rate_high(self, shared_rate: float) -> bool:
        """Return whether the failure rate is high enough for an ejection.

        If only the number of faults counted, all backend servers of a busy
        pool whose calls fail now and then would be ejected in turn, and calls
        would be refused with most slots free.
        """
        bound = max(MIN_FAILURE_RATE, PEER_RATE_FACTOR * shared_rate)
        return self._failure_rate() >= min(bound, MAX_SHARED_RATE)

    def _eject(self, now: float) -> None:
        if self.slow_start_at is not None and (
            now > self.slow_start_at + EJECTIONS_RESET_S
        ):
            self.ejections = 0
        self.is_partly_working = (
            bool(self.recent_successes) and not self.refuses_connections
        )
        ejected_s = min(EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejected_until = now + ejected_s
        self.slow_start_at = self.ejected_until
        self.ejections += 1
        self.recent_faults.clear()
        self.recent_successes.clear()


class BatchCap(msgspec.Struct, kw_only=True, eq=False):
    """Limits the streams of a decode engine to meet the token gap's target.

    The larger a batch, the longer each of its steps. If an engine has more
    slots than the target allows, all its streams have token gaps just above
    the target once it is full.
    """

    #: Most streams at one time; ``None`` until answers have been too slow.
    cap: int | None = None
    changed_at: float = -math.inf

    def adjust(
        self, now: float, gap_s: float, target_s: float, streams: int
    ) -> None:
        """Adjust the cap to the mean token gap of a complete answer.

        The gap is a mean over seconds, so the cap changes by one and is then
        kept until answers reflect the new one.

        :param gap_s: measured mean gap.
        :param target_s: target of the token gap.
        :param streams: size of the batch at the answer's end.
        """
        if now < self.changed_at + CAP_PAUSE_S:
            return
        if gap_s > target_s * GAP_HIGH:
            self.cap = max(1, min(self.cap or streams, streams) - 1)
            self.changed_at = now
        elif self.cap is not None and gap_s < target_s * GAP_LOW:
            self.cap += 1
            self.changed_at = now
