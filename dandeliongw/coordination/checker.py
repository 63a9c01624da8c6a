"""A voter's quorum checks, for itself and for instances that request them."""

from collections import abc
import typing

from . import ballot as ballots
from . import configuration as configurations
from . import confirmation
from . import parts
from . import register_messages as messages
from . import register_state as state_module
from . import unfinished_changes

#: A lagging disk is sent the version at most once in this many confirmation
#: TTLs, as the full value may be large.
CATCH_UP_EVERY = 1.0

#: Disks beyond a majority that are queried at first, so that one of those
#: queried may fail to answer.
SPARE_DISKS = 1

Confirm = abc.Callable[[configurations.Version, float, float], list]


class Checker:
    """Runs checks; a request is answered by a check that begins after it.

    A check whose reports arrive late still counts, also when the next one
    has begun. If only the latest check counted, voters whose messages take
    0.1 of the TTL would confirm nothing while the delay lasts, and no entry
    would get a confirmation although all voters are healthy.

    :param ttl_s: how long a confirmation is valid, in seconds.
    :param confirm: called with a version, the time at which the check began
        and the present time; returns effects.
    """

    def __init__(
        self,
        *,
        register_state: state_module.RegisterState,
        ttl_s: float,
        confirm: Confirm,
    ) -> None:
        #: Whether a check has found a change that its proposer left
        #: unfinished.
        self.is_repair_wanted = False
        self._register_state = register_state
        self._ttl_s = ttl_s
        self._confirm = confirm
        self._waiting_requests_by_id: dict[
            str, confirmation.WaitingRequest
        ] = {}
        #: Checks that may still confirm a version, the oldest first.
        self._checks_by_id: dict[int, confirmation.Check] = {}
        #: ``None`` before the first tick, which brings the entropy for it.
        self._check_id: int | None = None
        self._last_at: float | None = None
        self._is_check_requested = False
        self._caught_up_at_by_disk: dict[str, float] = {}
        self._detector = unfinished_changes.UnfinishedChangeDetector(
            register_state=register_state,
            timeout_s=confirmation.CHECK_TIMEOUT * ttl_s,
        )

    def start(self, first_id: int) -> None:
        """Begin to check, with ids that no earlier run of this instance used.

        A report to a check from before a restart says what a voter held
        before the requests waiting now were sent; it must not count.
        """
        self._check_id = first_id

    def add_request(
        self, sender: str, request: messages.ConfirmConfiguration, now: float
    ) -> list[typing.Any]:
        """Queue a confirmation request; the next check to begin answers it.

        It replaces an earlier request of the same instance, as an answer to
        the later one is valid for longer.
        """
        self._waiting_requests_by_id[sender] = confirmation.WaitingRequest(
            arrived_at=now,
            after_check_id=self._check_id or 0,
            request=request,
        )
        return self._begin_if_due(now)

    def check_soon(self, now: float) -> list[typing.Any]:
        """Check soon: a hint says that a later revision was accepted."""
        self._is_check_requested = True
        return self._begin_if_due(now)

    def tick(self, now: float) -> list[typing.Any]:
        """Query further disks, expire checks and requests, begin a check."""
        effects: list[typing.Any] = []
        timeout_s = confirmation.CHECK_TIMEOUT * self._ttl_s
        for check in list(self._checks_by_id.values()):
            age = now - check.started_at
            if age >= confirmation.CHECK_LIFE * self._ttl_s:
                del self._checks_by_id[check.check_id]
            elif age >= timeout_s / 2:
                effects += self._query_others(check)
            if self._detector.needs_repair(check, now):
                self.is_repair_wanted = True
        self._remove_expired_requests(now)
        return [*effects, *self._begin_if_due(now)]

    def on_report(
        self, sender: str, message: messages.AcceptedReport, now: float
    ) -> list[typing.Any]:
        """Count a report; send a lagging voter the confirmed version."""
        # Reports that arrive after the check has ended are examined as well.
        # Without this, a voter that always answers late would never be
        # brought up to date.
        effects = self._catch_up(message, now)
        check = self._checks_by_id.get(message.check_id)
        if check is None:
            return effects
        check.accepted_by_disk[message.from_disk_id] = message.accepted
        self._detector.note_ballot(message.accepted, now)
        return [
            *effects,
            *self._fetch_if_behind(sender, check, message),
            *self.settle(now),
        ]

    def settle(self, now: float) -> list[typing.Any]:
        """End the latest check that confirms a version held here."""
        for check in reversed(self._checks_by_id.values()):
            for versions in self._register_state.histories:
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
        """Remove a check and those before it; answer the requests."""
        self.is_repair_wanted = False
        for check_id in list(self._checks_by_id):
            if check_id <= check.check_id:
                del self._checks_by_id[check_id]
        return self._answer(check, versions, now)

    def _begin_if_due(self, now: float) -> list[typing.Any]:
        if not self._register_state.is_voter or self._check_id is None:
            return []
        if self._is_under_way(now) or not self._is_due(now):
            return []
        self._check_id += 1
        self._last_at = now
        self._is_check_requested = False
        check = confirmation.Check(check_id=self._check_id, started_at=now)
        self._checks_by_id[check.check_id] = check
        return self._query(check, self._first_disks())

    def _is_under_way(self, now: float) -> bool:
        """Return whether the latest check has not timed out yet."""
        check = self._checks_by_id.get(self._check_id)
        if check is None:
            return False
        age = now - check.started_at
        return age < confirmation.CHECK_TIMEOUT * self._ttl_s

    def _remove_expired_requests(self, now: float) -> None:
        oldest = now - confirmation.MAX_REQUEST_TIMEOUT * self._ttl_s
        for instance_id, waiting in list(self._waiting_requests_by_id.items()):
            if waiting.arrived_at <= oldest:
                del self._waiting_requests_by_id[instance_id]

    def _first_disks(self) -> list[str]:
        """Return the disks to query first: a majority and a spare.

        With twelve voters that saves a third of their messages. The order
        rotates with every check, so that every disk is queried regularly.
        While voters are joining, all disks of both sets are returned.
        """
        voters = self._register_state.voters
        disk_ids = sorted(voters.instance_by_disk)
        if voters.joining_by_id:
            return disk_ids
        start = self._check_id % len(disk_ids)
        rotated = [*disk_ids[start:], *disk_ids[:start]]
        own = self._register_state.disk_id
        rotated.sort(key=lambda disk_id: disk_id != own)
        return rotated[: len(disk_ids) // 2 + 1 + SPARE_DISKS]

    def _query_others(self, check: confirmation.Check) -> list[parts.Send]:
        """Query the disks that were not queried at first."""
        disk_ids = sorted(self._register_state.voters.instance_by_disk)
        return self._query(
            check, [d for d in disk_ids if d not in check.queried]
        )

    def _query(
        self, check: confirmation.Check, disk_ids: abc.Iterable[str]
    ) -> list[parts.Send]:
        instance_by_disk = self._register_state.voters.instance_by_disk
        sends = []
        for disk_id in disk_ids:
            check.queried.add(disk_id)
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
        gap = confirmation.REQUEST_EVERY
        if self._waiting_requests_by_id or self._is_check_requested:
            gap = confirmation.CHECK_GAP
        return now - self._last_at >= gap * self._ttl_s

    def _fetch_if_behind(
        self,
        sender: str,
        check: confirmation.Check,
        message: messages.AcceptedReport,
    ) -> list[typing.Any]:
        known = self._register_state.known.ballot
        latest = check.fetched or known
        if message.accepted is None or message.accepted <= latest:
            return []
        # One fetch per version and check. Without this, every voter would
        # send the full value.
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
        for instance_id, waiting in list(self._waiting_requests_by_id.items()):
            if waiting.after_check_id >= check.check_id:
                continue
            del self._waiting_requests_by_id[instance_id]
            answer = messages.ConfigurationConfirmed(
                ask_id=waiting.request.ask_id,
                update=versions.update_for(waiting.request.base),
            )
            effects.append(parts.Send(to=instance_id, message=answer))
        return effects

    def _catch_up(
        self, report: messages.AcceptedReport, now: float
    ) -> list[typing.Any]:
        """Resend the accept request to a disk that missed it or is joining."""
        version = self._register_state.confirmed
        if version is None or not _is_behind(report, version.ballot):
            return []
        if not self._is_own_turn_to_catch_up():
            return []
        if self._register_state.known.ballot != version.ballot:
            # A later version is known here and not confirmed yet. If the
            # confirmed one were sent now, the later one would follow soon,
            # as a full value again.
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
            update=self._register_state.update_to_confirmed(report.accepted),
        )
        return [parts.Send(to=instance_by_disk[disk_id], message=message)]

    def _is_own_turn_to_catch_up(self) -> bool:
        # Every voter detects the lagging one. If all sent it the version,
        # possibly as a full value, it would receive most of a megabyte a
        # dozen times. So the voters take turns by check id.
        voter_ids = self._register_state.voter_ids
        if self._register_state.instance_id not in voter_ids:
            return False
        turn = voter_ids.index(self._register_state.instance_id)
        return self._check_id % len(voter_ids) == turn


def _is_behind(
    report: messages.AcceptedReport, ballot: ballots.Ballot
) -> bool:
    return report.accepted is None or report.accepted < ballot
