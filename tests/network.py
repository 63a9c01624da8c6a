"""The reducers of a few instances on a virtual clock, for failure tests.

Messages are delivered and syncs succeed immediately, unless a test isolates,
freezes or crashes an instance.
"""

import collections
import json
import typing

from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import register
from dandeliongw import document
from dandeliongw import events
from dandeliongw import reducer
from dandeliongw import settings
from dandeliongw import wire
from tools import local

TICK_S = 0.1
#: Maximum deliveries at one moment; more indicate an endless loop of replies.
MOST_DELIVERIES = 5000


def lookup(request_id, now):
    call = events.Call(
        service='studio-portal',
        method='GET',
        path='/lookup',
        streamed=False,
        key_sha256=local.sha256(local.ACCOUNT_KEY),
        idempotency_key=None,
        digest=b'',
    )
    return events.RequestArrived(
        now=now, request_id=request_id, call=call, entropy=1
    )


class Network:
    """Instances named ``gw-1``, ``gw-2`` and so on.

    :param voters: number of instances, counted from the first, that are
        voters of the register; all by default.
    :param most_voters: as in the settings.
    :param timeouts: overrides of the timeouts in the settings.
    """

    tunnel_port = 0

    def __init__(
        self,
        *,
        count: int = 3,
        voters: int | None = None,
        most_voters: int | None = None,
        **timeouts: float,
    ) -> None:
        self._voters = count if voters is None else voters
        self._most_voters = most_voters
        self.now = 1000.0
        #: Isolated instances: all messages from and to them are lost.
        self.cut: set[str] = set()
        #: Instances that handle no events, until they are started again.
        self.frozen: set[str] = set()
        #: Whether a message is lost, by sender, receiver and message.
        self.loses: typing.Callable = lambda sender, to, message: False
        self.reducers_by_id: dict[str, reducer.Reducer] = {}
        self.journals_by_id: dict[str, list] = collections.defaultdict(list)
        #: Effects of each reducer that the network does not perform itself.
        self.effects_by_id: dict[str, list] = collections.defaultdict(list)
        self._codec = wire.make_codec()
        self._timeouts = timeouts
        self._ids = [f'gw-{number + 1}' for number in range(count)]
        self._queue: collections.deque = collections.deque()
        self._starts = 0
        for instance_id in self._ids:
            self.start(instance_id, disk_id=f'disk-{instance_id}')

    def start(self, instance_id: str, disk_id: str) -> None:
        """Start an instance, restoring the journal of a disk."""
        self._starts += 1
        made = reducer.Reducer(
            settings=self._settings(instance_id),
            incarnation=self._starts,
            disk_id=disk_id,
            callers_url=self._callers_url(instance_id),
            tunnel_port=self.tunnel_port,
        )
        made.restore(self.journals_by_id[disk_id])
        self.reducers_by_id[instance_id] = made
        self.frozen.discard(instance_id)

    def _callers_url(self, instance_id: str) -> str:
        return f'http://{instance_id}'

    def crash(self, instance_id: str) -> None:
        self.frozen.add(instance_id)

    def _settings(self, instance_id: str) -> settings.Settings:
        peers = [
            {
                'instance_id': each,
                'host': '127.0.0.1',
                'port': 1 + place,
                'data_centre': f'dc-{place}',
                'region': 'local',
                'voter': place < self._voters,
            }
            for place, each in enumerate(self._ids)
        ]
        own = self._ids.index(instance_id)
        body = {
            'instance_id': instance_id,
            'data_centre': f'dc-{own}',
            'region': 'local',
            'data_folder': 'unused',
            'callers': {'host': '127.0.0.1', 'port': 0},
            'control': {'host': '127.0.0.1', 'port': 0},
            'peer': {'host': '127.0.0.1', 'port': 0},
            'peers': peers,
            'timeouts': self._timeouts,
            'most_voters': self._most_voters,
        }
        return settings.parse_settings(json.dumps(body).encode())

    def post(self, instance_id: str, event: typing.Any) -> list:
        """Post an event to an instance; return the effects it led to there.

        All messages that result from it are delivered first.
        """
        before = len(self.effects_by_id[instance_id])
        self._handle(instance_id, event)
        self._deliver()
        return self.effects_by_id[instance_id][before:]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for place, instance_id in enumerate(self._ids):
                entropy = hash((round(self.now * 10), place)) & (2**64 - 1)
                self._handle(
                    instance_id, parts.Ticked(now=self.now, entropy=entropy)
                )
            self._deliver()

    def run_until(self, check: typing.Callable, limit_s: float) -> float:
        """Let time pass until ``check()``; return the seconds it took.

        :raises AssertionError: if that is not within ``limit_s``.
        """
        began = self.now
        while not check():
            if self.now - began >= limit_s:
                raise AssertionError(f'not within {limit_s} virtual seconds')
            self.run(TICK_S)
        return self.now - began

    def _handle(self, instance_id: str, event: typing.Any) -> None:
        if instance_id in self.frozen:
            return
        for effect in self.reducers_by_id[instance_id].handle(event):
            if isinstance(effect, parts.Send):
                self._queue.append((instance_id, effect))
            elif isinstance(effect, parts.Persist):
                disk_id = self.reducers_by_id[instance_id].register.disk_id
                self.journals_by_id[disk_id].extend(effect.records)
                persisted = parts.Persisted(now=self.now, token=effect.token)
                self._queue.append((instance_id, persisted))
            else:
                self.effects_by_id[instance_id].append(effect)

    def _deliver(self) -> None:
        delivered = []
        while self._queue:
            source, item = self._queue.popleft()
            delivered.append((source, item))
            if len(delivered) > MOST_DELIVERIES:
                last = '\n'.join(map(str, delivered[-6:]))
                raise AssertionError(f'endless loop of messages:\n{last}')
            if isinstance(item, parts.Persisted):
                self._handle(source, item)
                continue
            if source in self.cut or item.to in self.cut:
                continue
            if self.loses(source, item.to, item.message):
                continue
            # Encoded and decoded, so that a message that cannot be encoded
            # fails here.
            message = self._codec.decode(*self._codec.encode(item.message))
            received = parts.Received(
                now=self.now, sender=source, message=message
            )
            self._handle(item.to, received)

    # Helpers for common steps of tests

    def apply(self, instance_id: str, described: dict, change_id: str) -> None:
        """Apply a document and wait until it is in force everywhere."""
        body = document.document_bytes(
            document.parse_document(json.dumps(described).encode())
        )
        held = self.reducers_by_id[instance_id].register
        self.run_until(lambda: held.revision is not None, 10)
        revision = held.revision + 1
        self.post(
            instance_id,
            register.Propose(
                now=self.now,
                ticket='apply',
                change_id=change_id,
                author='test',
                expected_revision=held.revision,
                document=body,
                entropy=1,
            ),
        )
        self.run_until(
            lambda: all(
                each.register.revision == revision
                for each in self.reducers_by_id.values()
            ),
            10,
        )

    def apply_example(self) -> None:
        self.apply('gw-1', local.example_document(), 'example')

    def announce(
        self,
        instance_id: str,
        backend_id: str,
        role: str,
        sequence: int = 1,
        incarnation: int = 1,
    ) -> None:
        """Announce a backend server through an instance."""
        service = 'studio-portal' if role == 'plain' else 'dieline-llm'
        self.post(
            instance_id,
            presence.Announced(
                now=self.now,
                ticket=f'announce-{backend_id}',
                announcement=presence.BackendAnnouncement(
                    backend_id=backend_id,
                    incarnation=incarnation,
                    sequence=sequence,
                    service=service,
                    role=presence.BackendRole(role),
                    url=f'http://{backend_id}',
                    data_centre='dc-0',
                    slots=4,
                    checks_fence=False,
                ),
            ),
        )

    def owner_of(self, cell: str) -> str | None:
        """Return the instance that holds a cell's lease now, if any."""
        holders = [
            instance_id
            for instance_id, each in self.reducers_by_id.items()
            if instance_id not in self.frozen
            and each.leases.epoch_if_held(cell, self.now) is not None
        ]
        assert len(holders) <= 1, holders
        return holders[0] if holders else None


class PlacingNetwork(Network):
    """Instances that keep serving while no voter is reachable."""

    def _settings(self, instance_id):
        made = super()._settings(instance_id)
        return made.model_copy(
            update={'unconfirmed': 'serve', 'silent_owner': 'place'}
        )
