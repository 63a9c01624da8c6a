"""The holder side of claims: durable slots, granted once per round.

A reply is sent only after the state that it reports is synced. Records that
arrive during a sync are batched into the next one (group commit).
"""

import bisect
from collections import abc
import typing

import msgspec

from . import claim_messages as messages
from . import claim_slots
from . import parts

#: A page of a copy ends after this many slots or bytes of outcomes.
PAGE_SLOTS = 64
PAGE_BYTES = 256 * 1024

Effects = list[typing.Any]
_State = messages.SlotState
_Answer = messages.PutAnswer


class _HeldSlot(msgspec.Struct, kw_only=True):
    """A stored slot and when it last changed, in monotonic seconds."""

    slot: messages.ClaimSlot
    changed_at: float


class _Batch(msgspec.Struct, kw_only=True):
    """Records for one sync, and the effects that wait for it.

    :param keys: of the slots among the records.
    :param epoch: the epoch that becomes synced, if it is journaled here.
    """

    records: list[typing.Any] = msgspec.field(default_factory=list)
    keys: set[str] = msgspec.field(default_factory=set)
    effects: Effects = msgspec.field(default_factory=list)
    epoch: int | None = None


class _Copy(msgspec.Struct, kw_only=True):
    """Progress of a joining holder's copy from the other holders.

    :param cursors_by_source: the last key received from each source.
    :param finished_sources: sources that were read to the end.
    """

    holder_set: claim_slots.HolderSet
    resend_at: float
    cursors_by_source: dict[str, str]
    finished_sources: set[str] = msgspec.field(default_factory=set)

    def has_majority(self) -> bool:
        """Whether a majority of the current set was read to the end."""
        return (
            len(self.finished_sources)
            > len(self.holder_set.disk_ids_by_holder) // 2
        )


class Holder:
    """Stores the slots of all keys on this instance's disk.

    :param disk_id: generated when the disk was first used. A disk that comes
        back empty gets a new one, so that its replies are not counted as
        replies of the old disk.
    :param retention_s: seconds for which a slot is kept after its last
        change.
    :param max_records: most keys stored at once; when it is full, new keys
        are refused.
    :param resend_s: seconds between requests of an unfinished copy.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        disk_id: str,
        retention_s: float,
        max_records: int,
        resend_s: float,
    ) -> None:
        self.instance_id = instance_id
        self.disk_id = disk_id
        self.retention_s = retention_s
        self.max_records = max_records
        self.resend_s = resend_s
        #: Ordered by last change, so that eviction stops at the first slot
        #: that is still retained.
        self._held_by_key: dict[str, _HeldSlot] = {}
        self._keys: list[str] = []
        self._clock_started = False
        self._holder_set: claim_slots.HolderSet | None = None
        #: The highest epoch written to the journal, and the highest synced.
        self._journaled_epoch = 0
        self._synced_epoch = 0
        self._pending = _Batch()
        self._syncing: _Batch | None = None
        self._syncs = 0
        self._copy: _Copy | None = None
        #: Epoch of the last copy that was begun with no slots.
        self._copy_epoch: int | None = None

    # Journal.

    def restore(self, record: typing.Any) -> None:
        """Replay one journal record; call it in the order of writing."""
        if isinstance(record, messages.ClaimSlot):
            self._store(record, 0.0)
        elif isinstance(record, messages.ClaimEpoch):
            self._journaled_epoch = max(self._journaled_epoch, record.epoch)
            self._synced_epoch = self._journaled_epoch
        elif isinstance(record, messages.ClaimCopyStarted):
            self._clear()
            self._copy_epoch = record.epoch
        elif isinstance(record, messages.ClaimsForgotten):
            for key in record.keys:
                self._remove(key)

    def snapshot(self) -> abc.Sequence[typing.Any]:
        """Return the journal records that restore this holder."""
        records: list[typing.Any] = [
            messages.ClaimEpoch(epoch=self._journaled_epoch)
        ]
        if self._copy_epoch is not None:
            records.append(messages.ClaimCopyStarted(epoch=self._copy_epoch))
        records.extend(held.slot for held in self._held_by_key.values())
        return records

    def persisted(self, token: str) -> Effects:
        """Release the effects that waited for a sync, and start the next."""
        batch = self._syncing
        if batch is None or token != self._token:
            return []
        self._syncing = None
        if batch.epoch is not None:
            self._synced_epoch = batch.epoch
        return batch.effects + self.flush()

    def flush(self) -> Effects:
        """Start a sync if records are pending and none is under way."""
        if self._syncing is not None or not self._pending.records:
            return []
        self._syncing, self._pending = self._pending, _Batch()
        self._syncs += 1
        return [
            parts.Persist(
                token=self._token,
                records=tuple(self._syncing.records),
            )
        ]

    @property
    def _token(self) -> str:
        return f'claims-{self._syncs}'

    # Time and the set of holders.

    def start_clock(self, now: float) -> None:
        """Set the age of restored slots to zero, at the first call only.

        The downtime is unknown, so their real age is higher. The error is
        safe: they are retained longer and reported as "in progress" longer,
        never shorter.
        """
        if self._clock_started:
            return
        self._clock_started = True
        for held in self._held_by_key.values():
            held.changed_at = now

    def ticked(self, now: float) -> Effects:
        """Evict slots past their retention; request lost pages again."""
        self._evict_expired(now)
        effects: Effects = []
        copy = self._copy
        if copy is not None and now >= copy.resend_at:
            copy.resend_at = now + self.resend_s
            effects += self._request_pages()
            effects += self._caught_up()
        return effects

    def holders_changed(
        self, now: float, holder_set: claim_slots.HolderSet
    ) -> Effects:
        """Switch to a new epoch, which takes effect once it is synced.

        Without the sync, a holder that restarts would lose the epoch and
        could grant slots under an older one, after a joining holder has
        copied its slots.
        """
        if holder_set.epoch < self._journaled_epoch:
            return []
        previous = self._holder_set
        if previous is not None and previous.epoch == holder_set.epoch:
            return []
        self._holder_set = holder_set
        if holder_set.epoch > self._journaled_epoch:
            self._journaled_epoch = holder_set.epoch
            self._pending.epoch = holder_set.epoch
            self._pending.records.append(
                messages.ClaimEpoch(epoch=holder_set.epoch)
            )
        return self._start_copy(now, holder_set)

    def _is_active(self) -> bool:
        """Whether this disk is in the current set, under a synced epoch."""
        holder_set = self._holder_set
        if holder_set is None or holder_set.epoch != self._synced_epoch:
            return False
        current_disk_id = holder_set.disk_ids_by_holder.get(self.instance_id)
        return current_disk_id == self.disk_id

    # Claims.

    def put(self, now: float, sender: str, put: messages.ClaimPut) -> Effects:
        """Grant the slot of a key and round to the first request."""
        if not self._accepts(put.epoch, put.disk_id):
            return [self._put_reply(sender, put, _Answer.UNKNOWN)]
        held = self._held_by_key.get(put.key)
        if held is None and len(self._held_by_key) >= self.max_records:
            return [self._put_reply(sender, put, _Answer.FULL)]
        if held is None or _is_superseded(held.slot, put.round):
            self._write(now, _claimed(put))
            return self._send_after_sync(
                put.key, self._put_reply(sender, put, _Answer.GRANTED)
            )
        if _is_granted(held.slot, put):
            reply = self._put_reply(sender, put, _Answer.GRANTED)
        else:
            reply = self._put_reply(sender, put, _Answer.TAKEN, held, now)
        return self._send_after_sync(put.key, reply)

    def withdraw(
        self, now: float, sender: str, withdraw: messages.ClaimWithdraw
    ) -> Effects:
        """Mark a slot of an attempt as withdrawn; other attempts' slots stay.

        The slot is not freed: within its round it is never granted to
        another attempt, or two attempts could get a majority in one round. A
        free slot is marked as well, so that a late duplicate of the attempt's
        put is refused.
        """
        if withdraw.disk_id != self.disk_id or not self._is_active():
            return []
        if self._withdrawal_changes(withdraw):
            self._write(now, _withdrawn(withdraw))
        reply = messages.ClaimWithdrawReply(attempt_id=withdraw.attempt_id)
        return self._send_after_sync(
            withdraw.key, parts.Send(to=sender, message=reply)
        )

    def _withdrawal_changes(self, withdraw: messages.ClaimWithdraw) -> bool:
        held = self._held_by_key.get(withdraw.key)
        if held is None:
            return len(self._held_by_key) < self.max_records
        if _is_superseded(held.slot, withdraw.round):
            return True
        return (
            held.slot.state is _State.CLAIMED
            and held.slot.attempt_id == withdraw.attempt_id
            and held.slot.round == withdraw.round
        )

    def record(
        self, now: float, sender: str, outcome: messages.ClaimOutcome
    ) -> Effects:
        """Store an outcome; it proves that its attempt won its round."""
        stored = self._accepts(outcome.epoch, outcome.disk_id)
        if stored:
            stored = self._record(now, outcome.slot)
        reply = messages.ClaimOutcomeReply(
            attempt_id=outcome.slot.attempt_id,
            epoch=self._synced_epoch,
            disk_id=self.disk_id,
            stored=stored,
        )
        return self._send_after_sync(
            outcome.slot.key, parts.Send(to=sender, message=reply)
        )

    def _record(self, now: float, slot: messages.ClaimSlot) -> bool:
        held = self._held_by_key.get(slot.key)
        if held is not None and held.slot.state is _State.RECORDED:
            return held.slot.attempt_id == slot.attempt_id
        if held is None and len(self._held_by_key) >= self.max_records:
            return False
        self._write(now, slot)
        return True

    def _accepts(self, epoch: int, disk_id: str) -> bool:
        """Whether a message is for this disk and the current epoch.

        A message of an older epoch must be refused: a joining holder may
        have copied this holder's slots since. It would miss the grant, which
        would then be lost with the next disk.
        """
        if disk_id != self.disk_id or epoch != self._synced_epoch:
            return False
        return self._is_active()

    def _put_reply(
        self,
        sender: str,
        put: messages.ClaimPut,
        answer: messages.PutAnswer,
        held: _HeldSlot | None = None,
        now: float = 0.0,
    ) -> parts.Send:
        reply = messages.ClaimPutReply(
            key=put.key,
            round=put.round,
            attempt_id=put.attempt_id,
            epoch=self._synced_epoch,
            disk_id=self.disk_id,
            answer=answer,
            slot=held.slot if held else None,
            age_s=now - held.changed_at if held else 0.0,
        )
        return parts.Send(to=sender, message=reply)

    # Copies.

    def copy_requested(
        self, now: float, sender: str, request: messages.ClaimCopyRequest
    ) -> Effects:
        """Send a joining holder a page of synced slots, in key order."""
        if request.epoch != self._synced_epoch or not self._is_active():
            return []
        page = self._page(now, request)
        return self._send_after_sync(None, parts.Send(to=sender, message=page))

    def _page(
        self, now: float, request: messages.ClaimCopyRequest
    ) -> messages.ClaimCopyPage:
        first = bisect.bisect_right(self._keys, request.after_key)
        copies: list[messages.ClaimCopied] = []
        size = 0
        for key in self._keys[first : first + PAGE_SLOTS]:
            held = self._held_by_key[key]
            age_s = now - held.changed_at
            copies.append(messages.ClaimCopied(slot=held.slot, age_s=age_s))
            size += len(held.slot.outcome)
            if size >= PAGE_BYTES:
                break
        return messages.ClaimCopyPage(
            epoch=request.epoch,
            after_key=request.after_key,
            copies=tuple(copies),
            last=first + len(copies) >= len(self._keys),
        )

    def _start_copy(
        self, now: float, holder_set: claim_slots.HolderSet
    ) -> Effects:
        self._copy = None
        current_disk_id = holder_set.disk_ids_by_holder.get(self.instance_id)
        joins = holder_set.joining.get(self.instance_id) == self.disk_id
        if not joins or current_disk_id == self.disk_id:
            return self.flush()
        if self._copy_epoch != holder_set.epoch:
            # Slots of an earlier set may be out of date. Those of a copy under
            # this one stay: it may count already, unknown to this instance.
            self._clear()
            self._copy_epoch = holder_set.epoch
            self._pending.records.append(
                messages.ClaimCopyStarted(epoch=holder_set.epoch)
            )
        sources = set(holder_set.disk_ids_by_holder) - {self.instance_id}
        self._copy = _Copy(
            holder_set=holder_set,
            resend_at=now + self.resend_s,
            cursors_by_source=dict.fromkeys(sorted(sources), ''),
        )
        return self.flush() + self._request_pages()

    def _request_pages(self) -> Effects:
        assert self._copy is not None
        return [
            self._request_page(source)
            for source in self._copy.cursors_by_source
            if source not in self._copy.finished_sources
        ]

    def _request_page(self, source: str) -> parts.Send:
        assert self._copy is not None
        request = messages.ClaimCopyRequest(
            epoch=self._copy.holder_set.epoch,
            after_key=self._copy.cursors_by_source[source],
        )
        return parts.Send(to=source, message=request)

    def page_received(
        self, now: float, sender: str, page: messages.ClaimCopyPage
    ) -> Effects:
        """Merge a page; request the next one or finish the copy."""
        copy = self._copy
        if copy is None or page.epoch != copy.holder_set.epoch:
            return []
        if copy.cursors_by_source.get(sender) != page.after_key:
            return []
        if sender in copy.finished_sources:
            return []
        for one in page.copies:
            self._merge(now, one)
        if page.last:
            copy.finished_sources.add(sender)
            return self.flush() + self._caught_up()
        copy.cursors_by_source[sender] = page.copies[-1].slot.key
        return self.flush() + [self._request_page(sender)]

    def _merge(self, now: float, copied: messages.ClaimCopied) -> None:
        held = self._held_by_key.get(copied.slot.key)
        slot = claim_slots.merge(held.slot if held else None, copied.slot)
        changed_at = now - copied.age_s
        if held is not None:
            changed_at = max(changed_at, held.changed_at)
        if held is None or held.slot != slot:
            self._write(changed_at, slot)

    def _caught_up(self) -> Effects:
        copy = self._copy
        if copy is None or not copy.has_majority():
            return []
        self._sort_by_age()
        effect = messages.CaughtUp(
            epoch=copy.holder_set.epoch, disk_id=self.disk_id
        )
        return self._send_after_sync(None, effect)

    # Slots.

    def _write(self, changed_at: float, slot: messages.ClaimSlot) -> None:
        self._store(slot, changed_at)
        self._pending.records.append(slot)
        self._pending.keys.add(slot.key)

    def _store(self, slot: messages.ClaimSlot, changed_at: float) -> None:
        if self._held_by_key.pop(slot.key, None) is None:
            bisect.insort(self._keys, slot.key)
        self._held_by_key[slot.key] = _HeldSlot(
            slot=slot, changed_at=changed_at
        )

    def _send_after_sync(self, key: str | None, effect: typing.Any) -> Effects:
        """Release an effect once the state that it reports is synced.

        :param key: of the slot that the effect reports; ``None`` if it
            depends on all slots.

        A refusal waits too. If the slot that it reports were lost in a
        crash, it would be granted to the next attempt, although the refused
        one may have concluded from it that nobody can win this round.
        """
        for batch in (self._pending, self._syncing):
            if batch is None or not batch.records:
                continue
            if key is None or key in batch.keys:
                batch.effects.append(effect)
                return self.flush()
        return [*self.flush(), effect]

    def _sort_by_age(self) -> None:
        by_age = sorted(
            self._held_by_key.items(), key=lambda i: i[1].changed_at
        )
        self._held_by_key = dict(by_age)

    def _clear(self) -> None:
        self._held_by_key.clear()
        self._keys.clear()

    def _remove(self, key: str) -> None:
        if self._held_by_key.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]

    def _evict_expired(self, now: float) -> None:
        old = []
        for key, held in self._held_by_key.items():
            if now - held.changed_at < self.retention_s:
                break
            old.append(key)
        if not old:
            return
        for key in old:
            self._remove(key)
        self._pending.records.append(messages.ClaimsForgotten(keys=tuple(old)))


def _is_superseded(slot: messages.ClaimSlot, round: int) -> bool:
    """Whether a put or withdrawal of this round may overwrite a slot.

    A later round proves that no attempt can win the slot's round any more.
    """
    return slot.state is not _State.RECORDED and slot.round < round


def _is_granted(slot: messages.ClaimSlot, put: messages.ClaimPut) -> bool:
    return (
        slot.state is _State.CLAIMED
        and slot.round == put.round
        and slot.attempt_id == put.attempt_id
    )


def _claimed(put: messages.ClaimPut) -> messages.ClaimSlot:
    return messages.ClaimSlot(
        key=put.key,
        round=put.round,
        state=_State.CLAIMED,
        digest=put.digest,
        attempt_id=put.attempt_id,
        deadline_s=put.deadline_s,
    )


def _withdrawn(withdraw: messages.ClaimWithdraw) -> messages.ClaimSlot:
    return messages.ClaimSlot(
        key=withdraw.key,
        round=withdraw.round,
        state=_State.WITHDRAWN,
        digest=withdraw.digest,
        attempt_id=withdraw.attempt_id,
    )
