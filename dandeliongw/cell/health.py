"""Outlier detection: when a backend server is ejected, and its slow start."""

import math

import msgspec

#: Number of faults within the window that ejects a backend server, if the
#: next two conditions hold as well.
FAULTS_TO_EJECT = 3
FAULT_WINDOW_S = 5.0
#: Least failure rate, of the work that ended in the window. Some services
#: fail one call in ten all the time, on every backend server.
FAULT_PART = 0.34
#: Least failure rate, as a multiple of the peers' rate. Faults that all share,
#: such as answers that the network loses, are no reason to eject one of them.
FAULT_PARTS_OF_PEERS = 1.5
#: A failure rate above this is never attributed to shared faults.
MOST_SHARED_PART = 0.8
#: Number of calls that must have ended on a server before its failure rate is
#: compared with that of its peers.
LEAST_ENDED = 3
#: Duration of the first ejection, and the longest one, in seconds.
EJECTED_S = 2.0
MOST_EJECTED_S = 60.0
#: Pause between bookings at the begin of slow start, in seconds.
PACE_S = 1.0
#: Parts of the token gap's target: the cap is lowered above the first, and
#: raised below the second.
GAP_HIGH = 0.95
GAP_LOW = 0.90
#: Pause between two changes of the cap, in seconds.
BATCH_RESTS_S = 1.0
#: Duration of slow start, from one slot to all of them, in seconds.
RAMP_S = 4.0
#: This long after the end of the last ejection, earlier ones no longer
#: lengthen the next: a few fault windows have passed without a reason for one.
FORGIVEN_AFTER_S = 15.0


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
    came_at: float | None = None
    #: When it was last booked.
    last_given_at: float = -math.inf
    #: Whether its ejection was logged, and its recovery not yet.
    is_told_distrusted: bool = False
    #: Whether a connection failed, and no work has succeeded since.
    refuses_connections: bool = False
    #: Whether some work succeeded lately, or did before its last ejection.
    works_in_part: bool = True
    #: Failure rate at its last ejection.
    part_when_left_out: float = 0.0

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until

    def is_new(self, now: float) -> bool:
        """Return whether it is ejected or in slow start."""
        return self.came_at is not None and now < self.came_at + RAMP_S

    def open_part(self, now: float) -> float:
        """Return the part of its slots that may be used now, from 0 to 1."""
        if not self.is_new(now):
            return 1.0
        return max(0.0, (now - self.came_at) / RAMP_S)

    def may_get_work(self, now: float) -> bool:
        """Return whether it may get new work now.

        A fault may take seconds to show. During slow start, bookings are
        spaced out, so that little work is lost if the fault persists.
        """
        if self.is_ejected(now):
            return False
        pause_s = PACE_S * (1.0 - self.open_part(now))
        return now >= self.last_given_at + pause_s

    def add_fault(self, now: float, shared_part: float = 0.0) -> None:
        """Record a fault, and eject the backend server if there are too many.

        Faults that come in during an ejection are of work that was placed
        before, and don't count again.

        :param shared_part: the peers' mean failure rate, from 0 to 1.
        """
        if self.is_ejected(now):
            return
        self._forget_old(now)
        self.recent_faults.append(now)
        needed = 1 if self._is_suspect(now) else FAULTS_TO_EJECT
        is_one_of_many = len(self.recent_faults) >= needed
        if is_one_of_many and self._fails_a_large_part(shared_part):
            self.part_when_left_out = self._failed_part()
            self._eject(now)

    def add_refusal(self, now: float) -> None:
        """Eject a backend server to which no connection could be made.

        One is enough: a dead server refuses every connection, and each
        costs a request an attempt.
        """
        self.refuses_connections = True
        self.works_in_part = False
        if self.is_ejected(now):
            return
        self._eject(now)
        # No slow start: a failing connection shows at once and costs little,
        # while slow start would leave slots unused for seconds.
        self.came_at = self.ejected_until - RAMP_S

    def add_success(self, now: float) -> None:
        """Record work that ended successfully."""
        self.refuses_connections = False
        self.works_in_part = True
        self._forget_old(now)
        self.recent_successes.append(now)

    def failed_part(self, now: float) -> float | None:
        """Return its failure rate, from 0 to 1; ``None`` if unknown.

        During an ejection this is the rate that led to it.
        """
        if self.is_ejected(now):
            return (
                None if self.refuses_connections else self.part_when_left_out
            )
        faults, ended = self.count_lately(now)
        return faults / ended if ended >= LEAST_ENDED else None

    def count_lately(self, now: float) -> tuple[int, int]:
        """Return the numbers of faults and of ended work in the window."""
        self._forget_old(now)
        faults = len(self.recent_faults)
        return faults, faults + len(self.recent_successes)

    def _forget_old(self, now: float) -> None:
        since = now - FAULT_WINDOW_S
        self.recent_faults = [at for at in self.recent_faults if at > since]
        self.recent_successes = [
            at for at in self.recent_successes if at > since
        ]

    def _is_suspect(self, now: float) -> bool:
        """Return whether one fault may be enough to eject it again.

        That holds during slow start after an ejection.
        """
        return self.ejections > 0 and self.is_new(now)

    def _failed_part(self) -> float:
        ended = len(self.recent_faults) + len(self.recent_successes)
        return len(self.recent_faults) / max(1, ended)

    def _fails_a_large_part(self, shared_part: float) -> bool:
        """Return whether the failure rate is high enough for an ejection.

        If only the number of faults counted, all backend servers of a busy
        pool whose calls fail now and then would be ejected in turn, and calls
        would be refused with most slots free.
        """
        bound = max(FAULT_PART, FAULT_PARTS_OF_PEERS * shared_part)
        return self._failed_part() >= min(bound, MOST_SHARED_PART)

    def _eject(self, now: float) -> None:
        if self.came_at is not None and (
            now > self.came_at + FORGIVEN_AFTER_S
        ):
            self.ejections = 0
        self.works_in_part = (
            bool(self.recent_successes) and not self.refuses_connections
        )
        ejected_s = min(EJECTED_S * 2**self.ejections, MOST_EJECTED_S)
        self.ejected_until = now + ejected_s
        self.came_at = self.ejected_until
        self.ejections += 1
        self.recent_faults.clear()
        self.recent_successes.clear()


class Batch(msgspec.Struct, kw_only=True, eq=False):
    """Limits the streams of a decode engine to meet the token gap's target.

    The larger a batch, the longer each of its steps. If an engine has more
    slots than the target allows, all its streams have token gaps just above
    the target once it is full.
    """

    #: Most streams at one time; ``None`` until answers have been too slow.
    cap: int | None = None
    changed_at: float = -math.inf

    def learn(
        self, now: float, gap_s: float, target_s: float, streams: int
    ) -> None:
        """Adjust the cap to the mean token gap of a complete answer.

        The gap is a mean over seconds, so the cap changes by one and is then
        kept until answers reflect the new one.

        :param gap_s: measured mean gap.
        :param target_s: target of the token gap.
        :param streams: size of the batch at the answer's end.
        """
        if now < self.changed_at + BATCH_RESTS_S:
            return
        if gap_s > target_s * GAP_HIGH:
            self.cap = max(1, min(self.cap or streams, streams) - 1)
            self.changed_at = now
        elif self.cap is not None and gap_s < target_s * GAP_LOW:
            self.cap += 1
            self.changed_at = now
