"""How far the owner of a cell trusts a backend server with new work."""

import math

import msgspec

#: So many faults within the window leave a backend server out.
FAULTS_TO_EJECT = 3
FAULT_WINDOW_S = 5.0
#: ... if they are this part of what it was given and ended in the window.
#: Some services fail one call in ten all the time, on every backend server.
FAULT_PART = 0.34
#: ... and so many times the part that fails on its peers. What all share, such
#: as answers that are lost on a network, says nothing of one of them.
FAULT_PARTS_OF_PEERS = 1.5
#: No part of faults above this is put down to what is shared.
MOST_SHARED_PART = 0.8
#: Pieces of work that have to end on a server before it counts as a peer.
LEAST_ENDED = 3
#: How long it is left out the first time, and at most.
EJECTED_S = 2.0
MOST_EJECTED_S = 60.0
#: Pause between the first pieces of work after it came back.
PACE_S = 1.0
#: Parts of the token gap's target above and below which the cap moves.
GAP_HIGH = 0.95
GAP_LOW = 0.90
#: Pause between two moves of the cap.
BATCH_RESTS_S = 1.0
#: How long it takes from one slot to all of them.
RAMP_S = 4.0
#: So long after it came back its earlier faults no longer lengthen the time
#: for which it is left out. Estimate: a few windows without a new reason.
FORGIVEN_AFTER_S = 15.0


class Health(msgspec.Struct, kw_only=True, eq=False):
    """Whether a backend server is trusted with new work.

    One that keeps failing is left out for a while, longer each time, and
    comes back slowly: without this each request would find out anew, and
    one would notice a steady stream of retries against one backend server.
    A new one comes in as slowly, as its caches are cold.
    """

    recent_faults: list[float] = msgspec.field(default_factory=list)
    recent_successes: list[float] = msgspec.field(default_factory=list)
    ejected_until: float = 0.0
    ejections: int = 0
    #: When it came, or came back; ``None`` if it has always been there.
    came_at: float | None = None
    last_given_at: float = -math.inf
    #: Whether a line told that it is left out, and none that it is back.
    is_told_distrusted: bool = False
    #: Whether the last that was heard of it is that it took no connection.
    refuses_connections: bool = False
    #: Whether some work went well lately, or did when it was left out.
    works_in_part: bool = True
    #: Part of its work that had failed when it was left out the last time.
    part_when_left_out: float = 0.0

    def is_ejected(self, now: float) -> bool:
        return now < self.ejected_until

    def is_new(self, now: float) -> bool:
        """Return whether it came, or came back, a short while ago."""
        return self.came_at is not None and now < self.came_at + RAMP_S

    def open_part(self, now: float) -> float:
        """Return which part of its slots may be used now."""
        if not self.is_new(now):
            return 1.0
        return max(0.0, (now - self.came_at) / RAMP_S)

    def may_get_work(self, now: float) -> bool:
        """Return whether it may get new work now.

        A fault may take seconds to show. Until the ramp is over the work
        is spaced, so that little is lost if the fault is still there.
        """
        if self.is_ejected(now):
            return False
        pause_s = PACE_S * (1.0 - self.open_part(now))
        return now >= self.last_given_at + pause_s

    def add_fault(self, now: float, shared_part: float = 0.0) -> None:
        """Count a fault; leave the backend server out if it is one of many.

        The faults that come in while it is left out are of work from
        before, and don't count again.

        :param shared_part: of the work of its peers that fails just now.
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
        """Leave out a backend server to which no connection was made.

        One that has died refuses every one, and each costs its caller an
        attempt: waiting for more of them tells nothing new.
        """
        self.refuses_connections = True
        self.works_in_part = False
        if self.is_ejected(now):
            return
        self._eject(now)
        # Whether connections are made shows at the first of them, and costs
        # little; a ramp would leave its places empty for seconds.
        self.came_at = self.ejected_until - RAMP_S

    def add_success(self, now: float) -> None:
        """Count work that ended well."""
        self.refuses_connections = False
        self.works_in_part = True
        self._forget_old(now)
        self.recent_successes.append(now)

    def failed_part(self, now: float) -> float | None:
        """Return the part of its work that fails; ``None`` if unknown."""
        if self.is_ejected(now):
            return (
                None if self.refuses_connections else self.part_when_left_out
            )
        faults, ended = self.count_lately(now)
        return faults / ended if ended >= LEAST_ENDED else None

    def count_lately(self, now: float) -> tuple[int, int]:
        """Return how many pieces of work failed lately, and how many ended."""
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
        """Whether it came back a short while ago; one fault may be enough."""
        return self.ejections > 0 and self.is_new(now)

    def _failed_part(self) -> float:
        ended = len(self.recent_faults) + len(self.recent_successes)
        return len(self.recent_faults) / max(1, ended)

    def _fails_a_large_part(self, shared_part: float) -> bool:
        """Whether the faults are a large part of all that ended.

        With their number alone, a busy pool whose calls fail now and then
        would leave out all its backend servers in turn; one would see calls
        refused with most places free.
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
    """How many streams a decode engine carries within the token gap.

    A batch steps more slowly the fuller it is. With more slots than the
    target bears, every answer of a full engine is too slow; one would
    notice token gaps just above the target on all of them at once.
    """

    #: ``None`` until answers have been too slow.
    cap: int | None = None
    changed_at: float = -math.inf

    def learn(
        self, now: float, gap_s: float, target_s: float, streams: int
    ) -> None:
        """Take in the mean gap of a whole answer.

        An answer tells of the batch as it was over seconds, so the cap
        moves by one and then rests until answers tell of the new one.
        """
        if now < self.changed_at + BATCH_RESTS_S:
            return
        if gap_s > target_s * GAP_HIGH:
            self.cap = max(1, min(self.cap or streams, streams) - 1)
            self.changed_at = now
        elif self.cap is not None and gap_s < target_s * GAP_LOW:
            self.cap += 1
            self.changed_at = now
