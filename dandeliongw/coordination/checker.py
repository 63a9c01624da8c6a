"""A voter's majority checks, for itself and for those who ask it."""

from collections import abc
import typing

from . import ballot as ballots
from . import configuration as configurations
from . import confirmation
from . import half_done
from . import knowledge as knowledges
from . import parts
from . import register_messages as messages

#: A disk that lags is sent the version at most once in this many times to
#: live, as the full value may be large.
CATCH_UP_EVERY = 1.0

#: More disks than a majority are asked at first, so that one may be silent.
SPARE_DISKS = 1

Confirm = abc.Callable[[configurations.Version, float, float], list]


class Checker:
    """Runs checks; whoever asks is answered by one that begins later.

    A check that gets its reports late still counts, also when the next one
    has begun. If only the latest did, voters whose messages take 0.1 of the
    time to live would confirm nothing for as long as they do, and one would
    see all entries without a confirmation while all voters are well.

    :param ttl_s: how long a confirmation lasts, in seconds.
    :param confirm: takes a version, when the check began and the time;
        returns effects.
    """

    def __init__(
        self,
        *,
        knowledge: knowledges.Knowledge,
        ttl_s: float,
        confirm: Confirm,
    ) -> None:
        #: Whether a proposer was seen to have left its work half done.
        self.is_repair_wanted = False
        self._knowledge = knowledge
        self._ttl_s = ttl_s
        self._confirm = confirm
        self._waiting_by_id: dict[str, confirmation.WaitingAsk] = {}
        #: Checks that may still end well, the oldest first.
        self._checks_by_id: dict[int, confirmation.Check] = {}
        #: ``None`` before the first tick has brought entropy.
        self._check_id: int | None = None
        self._last_at: float | None = None
        self._is_wanted = False
        self._caught_up_at_by_disk: dict[str, float] = {}
        self._half_done = half_done.HalfDone(
            knowledge=knowledge, timeout_s=confirmation.CHECK_TIMEOUT * ttl_s
        )

    def start(self, first_id: int) -> None:
        """Begin to check, with ids that no earlier run of ours used.

        A report to a check from before a restart tells of what a voter held
        before whoever waits now has asked; it must not count.
        """
        self._check_id = first_id

    def ask(
        self, sender: str, ask: messages.ConfirmConfiguration, now: float
    ) -> list[typing.Any]:
        """Take in an ask; the next check to begin answers it.

        It takes the place of an earlier one of the same instance, as the
        answer to it is worth more.
        """
        self._waiting_by_id[sender] = confirmation.WaitingAsk(
            arrived_at=now,
            after_check=self._check_id or 0,
            ask=ask,
        )
        return self._begin_if_due(now)

    def hurry(self, now: float) -> list[typing.Any]:
        """Check soon: a later revision was accepted."""
        self._is_wanted = True
        return self._begin_if_due(now)

    def tick(self, now: float) -> list[typing.Any]:
        """Ask spared disks, drop what is too old, begin when it is time."""
        effects: list[typing.Any] = []
        timeout_s = confirmation.CHECK_TIMEOUT * self._ttl_s
        for check in list(self._checks_by_id.values()):
            age = now - check.started_at
            if age >= confirmation.CHECK_LIFE * self._ttl_s:
                del self._checks_by_id[check.check_id]
            elif age >= timeout_s / 2:
                effects += self._ask_others(check)
            if self._half_done.is_met(check, now):
                self.is_repair_wanted = True
        self._forget_old_asks(now)
        return [*effects, *self._begin_if_due(now)]

    def on_report(
        self, sender: str, message: messages.AcceptedReport, now: float
    ) -> list[typing.Any]:
        """Count a report, and see to a voter that lags."""
        # Reports that come after the quorum's are looked at as well, or a
        # voter that always comes late would never be brought up to date.
        effects = self._catch_up(message, now)
        check = self._checks_by_id.get(message.check_id)
        if check is None:
            return effects
        check.accepted_by_disk[message.from_disk_id] = message.accepted
        self._half_done.note(message.accepted, now)
        return [
            *effects,
            *self._fetch_if_behind(sender, check, message),
            *self.settle(now),
        ]

    def settle(self, now: float) -> list[typing.Any]:
        """End the latest check that confirms a version that is known."""
        for check in reversed(self._checks_by_id.values()):
            for versions in self._knowledge.histories:
                version = versions.current
                if version is not None and check.confirms(version):
                    return self._end(check, versions, now)
        return []

    def _end(
        self,
        check: confirmation.Check,
        versions: configurations.VersionHistory,
        now: float,
    ) -> list[typing.Any]:
        """Forget a check and those before it, and answer who waits."""
        self.is_repair_wanted = False
        for check_id in list(self._checks_by_id):
            if check_id <= check.check_id:
                del self._checks_by_id[check_id]
        return self._answer(check, versions, now)

    def _begin_if_due(self, now: float) -> list[typing.Any]:
        if not self._knowledge.is_voter or self._check_id is None:
            return []
        if self._is_under_way(now) or not self._is_due(now):
            return []
        self._check_id += 1
        self._last_at = now
        self._is_wanted = False
        check = confirmation.Check(check_id=self._check_id, started_at=now)
        self._checks_by_id[check.check_id] = check
        return self._query(check, self._first_disks())

    def _is_under_way(self, now: float) -> bool:
        """Return whether the latest check may yet end in time."""
        check = self._checks_by_id.get(self._check_id)
        if check is None:
            return False
        age = now - check.started_at
        return age < confirmation.CHECK_TIMEOUT * self._ttl_s

    def _forget_old_asks(self, now: float) -> None:
        oldest = now - confirmation.LONGEST_ASK_TIMEOUT * self._ttl_s
        for instance_id, waiting in list(self._waiting_by_id.items()):
            if waiting.arrived_at <= oldest:
                del self._waiting_by_id[instance_id]

    def _first_disks(self) -> list[str]:
        """Return the disks to ask first: a majority and a spare.

        With twelve voters that saves a third of their messages. The order
        turns with every check, so that every disk is asked now and then.
        """
        voters = self._knowledge.voters
        disk_ids = sorted(voters.instance_by_disk)
        if voters.joining_by_id:
            return disk_ids
        start = self._check_id % len(disk_ids)
        turned = [*disk_ids[start:], *disk_ids[:start]]
        own = self._knowledge.disk_id
        turned.sort(key=lambda disk_id: disk_id != own)
        return turned[: len(disk_ids) // 2 + 1 + SPARE_DISKS]

    def _ask_others(self, check: confirmation.Check) -> list[parts.Send]:
        """Ask the disks that were spared at first."""
        disk_ids = sorted(self._knowledge.voters.instance_by_disk)
        return self._query(
            check, [d for d in disk_ids if d not in check.asked]
        )

    def _query(
        self, check: confirmation.Check, disk_ids: abc.Iterable[str]
    ) -> list[parts.Send]:
        instance_by_disk = self._knowledge.voters.instance_by_disk
        sends = []
        for disk_id in disk_ids:
            check.asked.add(disk_id)
            message = messages.CheckAccepted(
                to_disk_id=disk_id, check_id=check.check_id
            )
            sends.append(
                parts.Send(to=instance_by_disk[disk_id], message=message)
            )
        return sends

    def _is_due(self, now: float) -> bool:
        if self._last_at is None:
            return True
        gap = confirmation.ASK_EVERY
        if self._waiting_by_id or self._is_wanted:
            gap = confirmation.CHECK_GAP
        return now - self._last_at >= gap * self._ttl_s

    def _fetch_if_behind(
        self,
        sender: str,
        check: confirmation.Check,
        message: messages.AcceptedReport,
    ) -> list[typing.Any]:
        known = self._knowledge.known.ballot
        latest = check.fetched or known
        if message.accepted is None or message.accepted <= latest:
            return []
        # Once a check: every voter would send the whole value otherwise.
        check.fetched = message.accepted
        fetch = messages.FetchVersion(
            to_disk_id=message.from_disk_id, base=known
        )
        return [parts.Send(to=sender, message=fetch)]

    def _answer(
        self,
        check: confirmation.Check,
        versions: configurations.VersionHistory,
        now: float,
    ) -> list[typing.Any]:
        effects = self._confirm(versions.current, check.started_at, now)
        for instance_id, waiting in list(self._waiting_by_id.items()):
            if waiting.after_check >= check.check_id:
                continue
            del self._waiting_by_id[instance_id]
            answer = messages.ConfigurationConfirmed(
                ask_id=waiting.ask.ask_id,
                update=versions.update_for(waiting.ask.base),
            )
            effects.append(parts.Send(to=instance_id, message=answer))
        return effects

    def _catch_up(
        self, report: messages.AcceptedReport, now: float
    ) -> list[typing.Any]:
        """Repeat the accept for a disk that missed it, or that joins."""
        version = self._knowledge.confirmed
        if version is None or not _is_behind(report, version.ballot):
            return []
        if not self._is_turn_to_catch_up():
            return []
        if self._knowledge.known.ballot != version.ballot:
            # A later version is known here and waits for its check. Sent
            # now, this one would soon be followed by that one, whole again.
            return []
        disk_id = report.from_disk_id
        instance_by_disk = version.configuration.voters.instance_by_disk
        last = self._caught_up_at_by_disk.get(disk_id)
        pause = CATCH_UP_EVERY * self._ttl_s
        if last is not None and now - last < pause:
            return []
        if disk_id not in instance_by_disk:
            return []
        self._caught_up_at_by_disk[disk_id] = now
        message = messages.AcceptVersion(
            to_disk_id=disk_id,
            update=self._knowledge.update_to_confirmed(report.accepted),
        )
        return [parts.Send(to=instance_by_disk[disk_id], message=message)]

    def _is_turn_to_catch_up(self) -> bool:
        # Every voter sees the one that lags. If all sent it what may be the
        # whole value, it would get most of a megabyte a dozen times.
        voter_ids = self._knowledge.voter_ids
        if self._knowledge.instance_id not in voter_ids:
            return False
        place = voter_ids.index(self._knowledge.instance_id)
        return self._check_id % len(voter_ids) == place


def _is_behind(
    report: messages.AcceptedReport, ballot: ballots.Ballot
) -> bool:
    return report.accepted is None or report.accepted < ballot
