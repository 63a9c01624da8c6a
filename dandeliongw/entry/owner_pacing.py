"""How many bookings an entry may have unanswered at the owner of a cell.

The owner handles the messages of all entries with one processor. Without a
bound, each request that waits for a slow owner adds repeats and new searches,
and the more so the slower it is: it can't recover by itself. So each entry
halves its window when answers are late, and widens it while they are not.

Nothing here does I/O, and time is passed in.
"""

import zlib

import msgspec

#: An answer that takes longer counts as late, in seconds. Answers take some
#: 5 ms; the clients' targets are from 0.15 s for plain calls to 2 s.
LATE_ANSWER_S = 0.25
#: The window of an owner that keeps up. It is above the number of requests
#: that an entry serves at once, so that it holds nothing back.
MAX_WINDOW = 128
#: The most for an owner that has just taken over. All entries turn to it at
#: once; while it answers in time, the window doubles with each round trip.
SUCCESSOR_WINDOW = 2
#: From this window on, an owner counts as recovered.
RECOVERED_WINDOW = 8
#: Weight of the latest answer in the average answer time, if it is shorter.
ANSWER_WEIGHT = 0.3
#: Seconds in which the average answer time halves while nothing is asked.
ANSWER_HALF_LIFE_S = 1.0
#: The longest pause after a late answer that the window can't do more for.
MAX_PAUSE_S = 1.0
#: Delay of the first repeat in average answer times, so that an answer of
#: usual delay comes before it.
REPEAT_ANSWER_TIMES = 1.5
#: The longest delay between two repeats, unless answers take longer, in
#: seconds.
MAX_REPEAT_S = 1.0
#: Delays of repeats are lengthened by up to this part.
REPEAT_JITTER = 0.25
#: Seconds without any message from an owner that owes an answer, after which
#: another candidate is asked.
SILENT_OWNER_S = 0.75
#: Seconds over which an entry spreads what waited for an earlier owner.
SUCCESSION_SPREAD_S = 0.4
#: Mean delay until another candidate is asked after one that named no owner.
NO_OWNER_PAUSE_S = 0.25
#: The same for an owner that another instance still names when it is asked,
#: as slow owners are. It is about the time in which a lease runs out.
MAX_PATIENCE_S = 2.0
#: Seconds of silence after which another instance is asked who the owner is.
INQUIRY_S = 0.5
#: The same in average answer times, for an owner that is known to be slow.
PATIENCE_ANSWER_TIMES = 2.0
#: Seconds for which it is kept what candidates have said.
HEARD_S = 10.0
#: Candidates that are asked in turn.
MAX_CANDIDATES = 6
#: Redirections that are followed until an owner answers. Without a limit, two
#: instances that name each other would redirect an entry for ever.
MAX_REDIRECTS = 3
#: Shortest time between two log lines on the window of one cell, in seconds.
LOG_INTERVAL_S = 10.0
#: A booking that its request has given up counts as unanswered for this many
#: seconds at most. Its answer may never come.
ABANDONED_S = 2.0


class Unanswered(msgspec.Struct, kw_only=True):
    """A booking that the owner has yet to answer.

    :param first_repeat_s: delay of its first repeat, without jitter.
    """

    request_id: str
    attempt_id: str
    sent_at: float
    first_repeat_s: float
    repeat_at: float = 0.0
    repeats: int = 0

    def plan_repeat(self, now: float) -> None:
        """Set the time of the next repeat."""
        longest_s = max(MAX_REPEAT_S, self.first_repeat_s)
        delay_s = min(longest_s, self.first_repeat_s * 2**self.repeats)
        part = fraction(f'{self.attempt_id}{self.repeats}')
        self.repeat_at = now + delay_s * (1.0 + REPEAT_JITTER * part)


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The bookings of a cell at one entry.

    :param window: the most that may be unanswered.
    :param waiting: those that wait here until they may be sent.
    """

    unanswered: int
    window: int
    waiting: int


class OwnerPace:
    """The bookings of one cell that an entry may send.

    :param cell: its id.
    :param owner: the candidate that is asked at present.
    :param salt: differs between entries, so that their pauses do, too.
    """

    def __init__(self, *, cell: str, owner: str, salt: str) -> None:
        self.cell = cell
        self.salt = salt
        self.owner = owner
        self.window = MAX_WINDOW
        #: Average seconds until an answer; 0 if there was none.
        self.answer_s = 0.0
        self.unanswered_by_attempt: dict[str, Unanswered] = {}
        #: When the present owner was first asked; ``None`` if other entries
        #: did not turn to it at the same time.
        self.owner_since: float | None = None
        self.heard_at_by_id: dict[str, float] = {}
        #: When a candidate has said that it does not own the cell.
        self.disowned_at_by_id: dict[str, float] = {}
        #: When the first renewal was sent since an owner was last heard.
        self._renewed_at_by_id: dict[str, float] = {}
        #: Who was asked for the owner since that was last heard, or ``''``.
        self._informant = ''
        #: Average answer times of owners that are not asked at present.
        self._answer_s_by_id: dict[str, float] = {}
        self._patience_s = SILENT_OWNER_S
        self._redirects = 0
        #: Whether no candidate was found that owns the cell.
        self._is_seeking = False
        self._turn = 0
        self._first_candidate = owner
        #: Epoch of the last owner that announced itself, and when it did.
        self._announced: tuple[int, float] = (0, 0.0)
        self._paused_until = 0.0
        #: Bookings sent before are not counted as late a second time.
        self._halved_at = -1.0
        #: Messages are taken as heard until then: this process was paused.
        self._resumed_at = -1.0
        self._ticked_at: float | None = None
        self._is_narrow = False
        self._logged_narrow = False
        self._next_log_at = 0.0

    # Answers

    def has_room(self, now: float) -> bool:
        """Return whether another booking may be sent now."""
        window = 1 if self._is_seeking else self.window
        return (
            now >= self._paused_until
            and len(self.unanswered_by_attempt) < window
        )

    def sent(self, now: float, request_id: str, attempt_id: str) -> None:
        """Record that a booking was sent for the first time."""
        usual_s = REPEAT_ANSWER_TIMES * self._recent_answer_s(now)
        each = Unanswered(
            request_id=request_id,
            attempt_id=attempt_id,
            sent_at=now,
            first_repeat_s=max(LATE_ANSWER_S, usual_s),
        )
        each.plan_repeat(now)
        self.unanswered_by_attempt[attempt_id] = each

    def heard(self, now: float, sender: str) -> None:
        """Record that a message about the cell has come from an instance."""
        self.heard_at_by_id[sender] = now
        self._renewed_at_by_id.pop(sender, None)
        if sender == self.owner:
            self._informant = ''
            self._patience_s = self._usual_patience_s

    def renewed(self, now: float, owner: str) -> None:
        """Record that queued bookings were renewed, which is answered."""
        self._renewed_at_by_id.setdefault(owner, now)

    def answered(self, now: float, sender: str, attempt_id: str) -> None:
        """Record an owner's answer to a booking."""
        found = self.unanswered_by_attempt.get(attempt_id)
        if found is None or sender != self.owner:
            return
        del self.unanswered_by_attempt[attempt_id]
        took_s = now - found.sent_at
        weight = 1.0 if took_s > self.answer_s else ANSWER_WEIGHT
        self.answer_s += weight * (took_s - self.answer_s)
        if took_s > LATE_ANSWER_S:
            self._halve(now, found, len(self.unanswered_by_attempt) + 1)
            if self.window == 1:
                # No window is small enough for all entries together.
                part = 0.5 + fraction(f'{self.salt}{attempt_id}')
                self._pause(now, min(took_s, MAX_PAUSE_S) * part)
        elif not self._is_seeking:
            self.window = min(MAX_WINDOW, self.window + 1)

    def _pause(self, now: float, seconds: float) -> None:
        self._paused_until = max(self._paused_until, now + seconds)

    def owns(self, sender: str) -> None:
        """Record that an answer shows that its sender owns the cell."""
        if sender == self.owner:
            self._redirects = 0
            self._is_seeking = False

    def disowned(
        self,
        now: float,
        sender: str,
        holder: str,
        candidates: tuple[str, ...],
    ) -> None:
        """Process that a candidate does not own the cell.

        The owner that it names is asked now, or the next candidate after a
        pause.

        :param holder: the owner that it names, or ``''``.
        """
        self.disowned_at_by_id[sender] = now
        if sender != self.owner:
            if sender == self._informant:
                self._process_information(now, holder)
            return
        if candidates:
            # The hint that led to it, or the one that it gave, is used up.
            self._first_candidate = candidates[0]
        if holder and holder != sender and self._redirects < MAX_REDIRECTS:
            self._redirects += 1
            self._change_owner(now, holder, is_spread=False)
            return
        self._redirects = 0
        self._is_seeking = True
        part = 0.5 + fraction(f'{self.salt}{self.cell}{sender}{now}')
        self._pause(now, NO_OWNER_PAUSE_S * part)
        self.turn_from(now, sender, candidates)

    def _process_information(self, now: float, holder: str) -> None:
        self._informant = ''
        if holder == self.owner:
            self._patience_s = max(self._patience_s, MAX_PATIENCE_S)
        elif holder:
            self._change_owner(now, holder)

    def informed(self, now: float, sender: str, epoch: int) -> None:
        """Process that the instance asked for the owner is it by itself."""
        if sender == self._informant:
            self.announced(now, sender, epoch)

    # Owners

    def update_candidates(
        self, now: float, candidates: tuple[str, ...]
    ) -> bool:
        """Ask the likeliest candidate, if that is another one than before.

        :returns: whether the owner that is asked has changed.
        """
        if candidates[0] == self._first_candidate:
            return False
        self._first_candidate = candidates[0]
        self._turn = 0
        return self._change_owner(now, candidates[0])

    def turn_from(
        self, now: float, owner: str, candidates: tuple[str, ...]
    ) -> bool:
        """Ask the next candidate instead of this one.

        :returns: whether the owner that is asked has changed.
        """
        if owner != self.owner or not candidates:
            return False
        self._turn += 1
        among = candidates[:MAX_CANDIDATES]
        return self._change_owner(now, among[self._turn % len(among)])

    def announced(self, now: float, owner: str, epoch: int) -> bool:
        """Process that an instance has announced itself as the owner.

        :returns: whether it did so for the first time under this epoch, and
            just now.
        """
        if epoch > self._announced[0]:
            self._announced = (epoch, now)
            self._change_owner(now, owner)
            self._paused_until = now
            self.owns(owner)
        return self._announced == (epoch, now)

    def _change_owner(
        self, now: float, owner: str, *, is_spread: bool = True
    ) -> bool:
        """Ask another candidate from now on.

        :param is_spread: whether other entries do so at the same time.
        """
        if owner == self.owner:
            return False
        self._answer_s_by_id[self.owner] = self.answer_s
        self._informant = ''
        self.owner = owner
        self.owner_since = now if is_spread else None
        self.unanswered_by_attempt.clear()
        self.window = min(self.window, SUCCESSOR_WINDOW)
        self.answer_s = self._answer_s_by_id.pop(owner, 0.0)
        self._patience_s = self._usual_patience_s
        self._halved_at = now
        return True

    @property
    def _usual_patience_s(self) -> float:
        return max(SILENT_OWNER_S, PATIENCE_ANSWER_TIMES * self.answer_s)

    def is_silent(self, now: float, owner: str, since: float) -> bool:
        """Return whether an owner has sent nothing for too long.

        :param since: when it was asked for what it owes.
        """
        is_asked = owner == self.owner
        patience_s = self._patience_s if is_asked else SILENT_OWNER_S
        return self._silent_s(now, owner, since) >= patience_s

    def _silent_s(self, now: float, owner: str, since: float) -> float:
        heard_at = self.heard_at_by_id.get(owner, since)
        return now - max(since, heard_at, self._resumed_at)

    def leaves_renewals(self, now: float, owner: str) -> bool:
        """Return whether renewals of queued bookings remain unanswered."""
        since = self._renewed_at_by_id.get(owner)
        return since is not None and self.is_silent(now, owner, since)

    def owes_and_is_silent(self, now: float) -> bool:
        """Return whether the owner that is asked now should be left."""
        since = self._owes_since(now)
        return since is not None and self.is_silent(now, self.owner, since)

    def _owes_since(self, now: float) -> float | None:
        owed = [each.sent_at for each in self.unanswered_by_attempt.values()]
        if self.owner in self._renewed_at_by_id:
            owed.append(self._renewed_at_by_id[self.owner])
        return min(owed, default=None)

    def informant(self, now: float, candidates: tuple[str, ...]) -> str:
        """Return whom to ask for the owner, once for each of its silences.

        A slow owner that was left would have to handle the release of each
        booking, and then another booking, when the candidates name it.

        :returns: ``''`` if nobody is to be asked now.
        """
        since = self._owes_since(now)
        others = [each for each in candidates if each != self.owner]
        if (
            self._informant
            or since is None
            or not others
            or self._patience_s > self._usual_patience_s
            or self._silent_s(now, self.owner, since) < INQUIRY_S
        ):
            return ''
        self._informant = others[0]
        return self._informant

    # Time

    def tick(self, now: float) -> None:
        """Narrow the window if answers are late."""
        paused_s = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if not self.unanswered_by_attempt:
            # Nothing would show that the owner has recovered.
            self.answer_s *= 0.5 ** (paused_s / ANSWER_HALF_LIFE_S)
        if paused_s > LATE_ANSWER_S:
            # This process was paused; the answers may wait in its sockets.
            self._resumed_at = self._halved_at = now
            return
        for attempt_id, each in list(self.unanswered_by_attempt.items()):
            waited_s = now - each.sent_at
            if waited_s > LATE_ANSWER_S:
                self._halve(now, each, len(self.unanswered_by_attempt))
            if waited_s > ABANDONED_S + 2 * self.answer_s:
                del self.unanswered_by_attempt[attempt_id]
        for at_by_id in (
            self.heard_at_by_id,
            self.disowned_at_by_id,
            self._renewed_at_by_id,
        ):
            for instance_id, at in list(at_by_id.items()):
                if now - at > HEARD_S:
                    del at_by_id[instance_id]

    def _halve(self, now: float, late: Unanswered, used: int) -> None:
        """Halve the window, once for all that was sent before.

        :param used: number of unanswered bookings. It counts if it is less
            than the window: at few calls per second, halving a wide window
            would bound nothing for seconds.
        """
        if late.sent_at < self._halved_at:
            return
        self._halved_at = now
        self.window = max(1, min(self.window, used) // 2)

    def due_repeats(self, now: float) -> list[Unanswered]:
        """Return the bookings to repeat now, and delay their next repeats."""
        due = [
            each
            for each in self.unanswered_by_attempt.values()
            if now >= each.repeat_at
        ]
        for each in due:
            each.repeats += 1
            each.plan_repeat(now)
        return due

    def sends_from(self, request_id: str) -> float:
        """Return when to send a request that has waited for earlier owners."""
        if self.owner_since is None:
            return 0.0
        part = fraction(f'{request_id}{self.owner}')
        return self.owner_since + SUCCESSION_SPREAD_S * part

    @property
    def is_seeking(self) -> bool:
        """Whether the candidate asked last has named no owner."""
        return self._is_seeking

    def expected_answer_s(self, now: float, place: int) -> float:
        """Return the expected seconds until the answer to a waiting booking.

        :param place: the number of bookings that wait before it.
        """
        answer_s = self._recent_answer_s(now)
        if answer_s <= LATE_ANSWER_S or self._is_seeking:
            return 0.0
        pause_s = max(0.0, self._paused_until - now)
        return pause_s + answer_s * (1 + place // self.window)

    def _recent_answer_s(self, now: float) -> float:
        """Return the average answer time, or the age of what is unanswered."""
        unanswered = self.unanswered_by_attempt.values()
        oldest_at = min((each.sent_at for each in unanswered), default=now)
        return max(self.answer_s, now - oldest_at)

    @property
    def reading_delay_s(self) -> float:
        """Seconds until the owner reads a booking; 0 if it keeps up."""
        return self.answer_s if self.answer_s > LATE_ANSWER_S else 0.0

    def take_log_change(self, now: float) -> bool | None:
        """Return whether to log that the window is narrow, or wide again.

        :returns: ``None`` if there is nothing to log.
        """
        if self.window == 1:
            self._is_narrow = True
        elif self.window >= RECOVERED_WINDOW:
            self._is_narrow = False
        if self._is_narrow == self._logged_narrow or now < self._next_log_at:
            return None
        self._logged_narrow = self._is_narrow
        self._next_log_at = now + LOG_INTERVAL_S
        return self._is_narrow


def fraction(text: str) -> float:
    """Return a number from 0 to 1 for a text, always the same.

    Ids are random, so it spreads the messages of entries, without a source of
    random numbers among the decisions.
    """
    return zlib.crc32(text.encode()) / 2**32
