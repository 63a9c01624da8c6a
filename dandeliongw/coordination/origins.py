"""Which software version began a stream.

What two versions of a service's software write doesn't fit together, so a
stream goes on only at the version that began it. Its caller may come back to
any instance, which may have started a moment ago; the instance that began the
stream may be gone. So an instance that is about to begin a stream first tells
its *keepers*:

* the voters, which store it on disk;
* a few entries, chosen by rendezvous hashing of the stream's key, which keep
  it in memory. They answer while voters are out of reach or their disks are
  slow.

The first piece of the stream leaves once a majority of the voters or all the
chosen entries have confirmed. If neither happens within ``HOLD_S``, it leaves
all the same, and the origin is sent further on until a majority of the voters
has it.

An origin never changes, so one keeper's word is enough to find it. If none
has it, the stream is not taken up: a caller can begin it anew, but can't undo
pieces of another version. What is not known is never guessed, and so a lost
record costs a caller one stream and never mixes two versions.

A caller that comes back may not name what began its stream. It goes on only
where all streams that may be meant began at one version, see
:mod:`._origin_versions`.

The first origin of a key stays. A call under an id that has begun a stream at
another version is refused, as soon as one of its keepers says so.
"""

import typing

import msgspec

from . import parts
from . import placement
from ._origin_messages import AskOrigin
from ._origin_messages import AskVersions
from ._origin_messages import Keep
from ._origin_messages import KeeperReady
from ._origin_messages import KeepersFormed
from ._origin_messages import KeepOrigin
from ._origin_messages import KeepResult
from ._origin_messages import LookUp
from ._origin_messages import LookUpFailure
from ._origin_messages import LookUpSole
from ._origin_messages import MESSAGES
from ._origin_messages import OriginAnswer
from ._origin_messages import OriginKept
from ._origin_messages import RECORDS
from ._origin_messages import SetKeepers
from ._origin_messages import StreamOrigin
from ._origin_messages import VersionsAnswer
from ._origin_store import as_stream
from ._origin_store import OriginStore
from ._origin_versions import Completeness
from ._origin_versions import SoleVersionLookUps

__all__ = [
    'AskOrigin',
    'AskVersions',
    'HOLD_S',
    'Keep',
    'KeepersFormed',
    'KeepOrigin',
    'KeepResult',
    'LookUp',
    'LookUpFailure',
    'LookUpSole',
    'MESSAGES',
    'OriginAnswer',
    'OriginKept',
    'Origins',
    'RECORDS',
    'SetKeepers',
    'StreamOrigin',
]

#: Seconds for which the first piece of a stream waits for its keepers.
HOLD_S = 0.25
#: Seconds after which keepers are asked again, then over a connection. An
#: answer takes some 5 ms.
RESEND_S = 0.1
#: Seconds between two further sends to voters that have not confirmed.
LATE_RESEND_S = 0.5
#: Seconds after which no more is sent.
GIVE_UP_S = 30.0
#: Entries that keep one origin. The one that begins the stream may be among
#: them, and others have to outlast it.
ENTRY_KEEPERS = 3
MIN_OTHER_KEEPERS = 2
#: Entries that are asked for one. Entries that have gone or come since have
#: changed the ranking.
ENTRIES_ASKED = 5
#: Default seconds after which a new voter asks the others what they store.
DEFAULT_SETTLE_S = 5.0
#: Seconds after which the silence of some voters counts as "unknown" if a
#: majority has answered so, and as no answer otherwise.
MINORITY_WAIT_S = 0.15
ANSWER_TIMEOUT_S = 0.5

Effects = list[typing.Any]


class _Keeping(msgspec.Struct, kw_only=True):
    """An origin that its keepers have yet to confirm.

    :param is_answered: whether its ticket was completed.
    """

    message: KeepOrigin
    ticket: str
    began_at: float
    resend_at: float
    entry_ids: frozenset[str]
    confirmed_by: set[str]
    is_answered: bool = False


class _LookingUp(msgspec.Struct, kw_only=True):
    """A stream whose origin is asked for.

    :param asked_ids: instances that were asked.
    :param lacking_ids: those that have answered that they don't know it.
    """

    stream_key: bytes
    began_at: float
    resend_at: float
    asked_ids: frozenset[str]
    lacking_ids: set[str]


class Origins:
    """The state machine of the origins; the module describes the protocol.

    It needs a tick several times per ``RESEND_S``.

    :param instance_id: this instance.
    :param has_disk: whether it stores origins.
    :param settle_s: seconds after which no instance stores origins with voters
        that have been replaced: those that haven't heard of a change for as
        long act under no configuration.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        has_disk: bool,
        settle_s: float = DEFAULT_SETTLE_S,
    ) -> None:
        self._own_id = instance_id
        self._has_disk = has_disk
        self._store = OriginStore()
        self._voter_ids: frozenset[str] = frozenset()
        self._entries: tuple[placement.Member, ...] = ()
        self._keeping_by_key: dict[bytes, _Keeping] = {}
        self._looking_up_by_ticket: dict[str, _LookingUp] = {}
        self._sole_lookups = SoleVersionLookUps()
        self._completeness = Completeness(settle_s=settle_s)
        self._is_stored_complete = False
        #: What waits for the disk, and who is to be told then.
        self._storing_by_token: dict[str, tuple[bytes, str]] = {}
        self._tokens = 0
        #: Restored records; their time begins with the first event.
        self._restored: list[KeepOrigin] = []

    def handle(self, event: typing.Any) -> Effects:
        """Apply an event and return the resulting effects."""
        self._take_in_restored(event.now)
        match event:
            case SetKeepers():
                return self._set_keepers(event)
            case KeepersFormed():
                self._completeness.is_complete = True
                return self._store_completeness()
            case Keep():
                return self._keep(event)
            case LookUp():
                return self._look_up(event)
            case LookUpSole():
                return self._look_up_sole(event)
            case parts.Persisted():
                return self._persisted(event)
            case parts.Received():
                return self._receive(event)
            case parts.Ticked():
                return self._tick(event.now)
        return []

    def restore(self, record: typing.Any) -> None:
        """Take in a journal record; its time runs from the start on."""
        if isinstance(record, KeepOrigin):
            self._restored.append(record)
        elif isinstance(record, KeeperReady):
            self._completeness.is_complete = record.is_complete
            self._is_stored_complete = record.is_complete

    def snapshot(self) -> tuple[typing.Any, ...]:
        """Return the records that replace those written so far."""
        if not self._has_disk:
            return ()
        ready = KeeperReady(is_complete=self._is_stored_complete)
        return (ready, *self._store.snapshot())

    def _take_in_restored(self, now: float) -> None:
        for record in self._restored:
            self._store.add(now, record)
        self._restored.clear()

    def _set_keepers(self, event: SetKeepers) -> Effects:
        self._voter_ids = event.voter_ids
        self._entries = event.entries
        if not self._has_disk or not self._voter_ids:
            return []
        self._completeness.set_voter(
            event.now, is_voter=self._own_id in self._voter_ids
        )
        return self._store_completeness()

    # Keeping, at the instance that begins a stream

    def _keep(self, event: Keep) -> Effects:
        message = KeepOrigin(
            stream_key=event.stream_key,
            origin=event.origin,
            keep_s=event.keep_s,
        )
        keeping = _Keeping(
            message=message,
            ticket=event.ticket,
            began_at=event.now,
            resend_at=event.now + RESEND_S,
            entry_ids=self._ranked_entries(event.stream_key, ENTRY_KEEPERS),
            confirmed_by=set(),
        )
        former = self._keeping_by_key.pop(event.stream_key, None)
        self._keeping_by_key[event.stream_key] = keeping
        return [
            *self._end(former, KeepResult.LATE),
            *self._keep_here(event.now, message, self._own_id),
            *self._send_keep(keeping, by_datagram=True),
            *self._answer_if_kept(keeping),
        ]

    def _end(self, keeping: _Keeping | None, result: KeepResult) -> Effects:
        if keeping is None or keeping.is_answered:
            return []
        keeping.is_answered = True
        return [parts.Complete(ticket=keeping.ticket, result=result)]

    def _send_keep(self, keeping: _Keeping, *, by_datagram: bool) -> Effects:
        to = self._voter_ids | keeping.entry_ids
        return [
            parts.Send(
                to=each, message=keeping.message, by_datagram=by_datagram
            )
            for each in sorted(to - keeping.confirmed_by - {self._own_id})
        ]

    def _is_stored(self, keeping: _Keeping) -> bool:
        stored = keeping.confirmed_by & self._voter_ids
        return 2 * len(stored) > len(self._voter_ids)

    def _answer_if_kept(self, keeping: _Keeping) -> Effects:
        is_at_entries = (
            len(keeping.entry_ids) >= MIN_OTHER_KEEPERS
            and keeping.entry_ids <= keeping.confirmed_by
        )
        is_stored = self._is_stored(keeping)
        if is_stored:
            self._keeping_by_key.pop(keeping.message.stream_key, None)
        if is_stored or is_at_entries:
            return self._end(keeping, KeepResult.KEPT)
        return []

    def _confirmed(self, sender: str, kept: OriginKept) -> Effects:
        keeping = self._keeping_by_key.get(kept.stream_key)
        if keeping is None:
            return []
        if kept.origin != keeping.message.origin:
            del self._keeping_by_key[kept.stream_key]
            return self._end(keeping, KeepResult.TAKEN)
        keeping.confirmed_by.add(sender)
        return self._answer_if_kept(keeping)

    def _tick_keeping(self, now: float, keeping: _Keeping) -> Effects:
        out: Effects = []
        if now >= keeping.began_at + HOLD_S:
            out += self._end(keeping, KeepResult.LATE)
        if now >= keeping.began_at + GIVE_UP_S:
            del self._keeping_by_key[keeping.message.stream_key]
        elif now >= keeping.resend_at:
            keeping.resend_at = now + LATE_RESEND_S
            out += self._send_keep(keeping, by_datagram=False)
        return out

    # Keeping, at a keeper

    def _keep_here(
        self, now: float, message: KeepOrigin, told_by: str
    ) -> Effects:
        """Keep an origin and confirm it, at a voter when it is stored."""
        is_new = self._store.add(now, message)
        if not self._has_disk:
            return self._confirm(told_by, message.stream_key)
        is_storing = any(
            key == message.stream_key
            for key, _ in self._storing_by_token.values()
        )
        if not is_new and not is_storing:
            return self._confirm(told_by, message.stream_key)
        token = self._next_token()
        self._storing_by_token[token] = (message.stream_key, told_by)
        return [parts.Persist(token=token, records=(message,))]

    def _next_token(self) -> str:
        self._tokens += 1
        return str(self._tokens)

    def _persisted(self, event: parts.Persisted) -> Effects:
        if event.token not in self._storing_by_token:
            # What other voters told, or that it is complete.
            return []
        stream_key, told_by = self._storing_by_token.pop(event.token)
        return self._confirm(told_by, stream_key)

    def _confirm(self, told_by: str, stream_key: bytes) -> Effects:
        origin = self._store.find(stream_key)
        if origin is None:
            # It has expired meanwhile.
            return []
        kept = OriginKept(stream_key=stream_key, origin=origin)
        if told_by == self._own_id:
            return self._confirmed(self._own_id, kept)
        return [parts.Send(to=told_by, message=kept, by_datagram=True)]

    # Looking up

    def _look_up(self, event: LookUp) -> Effects:
        entry_ids = self._ranked_entries(event.stream_key, ENTRIES_ASKED)
        item = _LookingUp(
            stream_key=event.stream_key,
            began_at=event.now,
            resend_at=event.now + RESEND_S,
            asked_ids=self._voter_ids | entry_ids | {self._own_id},
            lacking_ids=set(),
        )
        self._looking_up_by_ticket[event.ticket] = item
        out = self._note_answer(
            event.now, self._own_id, self._answer(event.stream_key)
        )
        if event.ticket not in self._looking_up_by_ticket:
            return out
        return [*out, *self._send_ask(item, by_datagram=True)]

    def _answer(self, stream_key: bytes) -> OriginAnswer:
        return OriginAnswer(
            stream_key=stream_key, origin=self._store.find(stream_key)
        )

    def _send_ask(self, item: _LookingUp, *, by_datagram: bool) -> Effects:
        ask = AskOrigin(stream_key=item.stream_key)
        return [
            parts.Send(to=each, message=ask, by_datagram=by_datagram)
            for each in sorted(item.asked_ids - item.lacking_ids)
            if each != self._own_id
        ]

    def _note_answer(
        self, now: float, sender: str, answer: OriginAnswer
    ) -> Effects:
        out: Effects = []
        for ticket, item in list(self._looking_up_by_ticket.items()):
            if item.stream_key != answer.stream_key:
                continue
            result: StreamOrigin | LookUpFailure | None = answer.origin
            if result is None:
                item.lacking_ids.add(sender)
                result = self._failure(now, item)
            if result is not None:
                del self._looking_up_by_ticket[ticket]
                out.append(parts.Complete(ticket=ticket, result=result))
        return out

    def _failure(self, now: float, item: _LookingUp) -> LookUpFailure | None:
        """Return why a lookup fails; ``None`` while it may succeed."""
        if item.asked_ids <= item.lacking_ids:
            return LookUpFailure.UNKNOWN
        waited_s = now - item.began_at
        lacking = item.lacking_ids & self._voter_ids
        if 2 * len(lacking) > len(self._voter_ids):
            if waited_s >= MINORITY_WAIT_S:
                return LookUpFailure.UNKNOWN
        elif waited_s >= ANSWER_TIMEOUT_S:
            return LookUpFailure.UNANSWERED
        return None

    def _tick_lookup(
        self, now: float, ticket: str, item: _LookingUp
    ) -> Effects:
        failure = self._failure(now, item)
        if failure is not None:
            del self._looking_up_by_ticket[ticket]
            return [parts.Complete(ticket=ticket, result=failure)]
        if now < item.resend_at:
            return []
        item.resend_at = now + RESEND_S
        return self._send_ask(item, by_datagram=False)

    # What has begun streams

    def _look_up_sole(self, event: LookUpSole) -> Effects:
        own = self._versions_answer(event.now, event.ticket, event.services)
        return self._sole_lookups.begin(
            event, self._other_voter_ids, own, self._own_id, self._voter_ids
        )

    @property
    def _other_voter_ids(self) -> frozenset[str]:
        return self._voter_ids - {self._own_id}

    def _versions_answer(
        self, now: float, ticket: str, services: tuple[str, ...]
    ) -> VersionsAnswer:
        return VersionsAnswer(
            ticket=ticket,
            kept=self._store.versions(now, services),
            is_complete=self._has_disk and self._is_stored_complete,
        )

    def _on_versions(self, event: parts.Received) -> Effects:
        answer = event.message
        told = self._completeness.note(event.sender, answer, self._voter_ids)
        records = [as_stream(each) for each in told]
        new = tuple(
            each for each in records if self._store.add(event.now, each)
        )
        out: Effects = []
        if new:
            out.append(parts.Persist(token=self._next_token(), records=new))
        return [
            *out,
            *self._store_completeness(),
            *self._sole_lookups.note(event.sender, answer, self._voter_ids),
        ]

    def _store_completeness(self) -> Effects:
        """Journal whether the answers are complete, if that has changed.

        What they rely on was journaled before.
        """
        is_complete = self._completeness.is_complete
        if not self._has_disk or is_complete == self._is_stored_complete:
            return []
        self._is_stored_complete = is_complete
        record = KeeperReady(is_complete=is_complete)
        return [parts.Persist(token=self._next_token(), records=(record,))]

    # Messages and time

    def _receive(self, event: parts.Received) -> Effects:
        message = event.message
        match message:
            case KeepOrigin():
                return self._keep_here(event.now, message, event.sender)
            case OriginKept():
                return self._confirmed(event.sender, message)
            case AskOrigin():
                answer = self._answer(message.stream_key)
                return [
                    parts.Send(
                        to=event.sender, message=answer, by_datagram=True
                    )
                ]
            case OriginAnswer():
                return self._note_answer(event.now, event.sender, message)
            case AskVersions():
                versions = self._versions_answer(
                    event.now, message.ticket, message.services
                )
                return [
                    parts.Send(
                        to=event.sender, message=versions, by_datagram=True
                    )
                ]
            case VersionsAnswer():
                return self._on_versions(event)
        return []

    def _tick(self, now: float) -> Effects:
        self._store.expire(now)
        out: Effects = []
        for keeping in list(self._keeping_by_key.values()):
            out += self._tick_keeping(now, keeping)
        for ticket, item in list(self._looking_up_by_ticket.items()):
            out += self._tick_lookup(now, ticket, item)
        out += self._sole_lookups.tick(now, self._other_voter_ids)
        if self._has_disk:
            out += self._completeness.tick(now, self._other_voter_ids)
            out += self._store_completeness()
        return out

    def _ranked_entries(self, stream_key: bytes, count: int) -> frozenset[str]:
        """Return the first entries for a stream, less this one.

        All instances rank them alike, so that two streams of one id meet.
        """
        ranked = placement.ranked_owners(
            stream_key.hex(), self._entries, count
        )
        return frozenset(ranked) - {self._own_id}
