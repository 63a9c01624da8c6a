"""Which backend servers may get work: leaves, leases, old announcements."""

import typing
import unittest

from dandeliongw import codec
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.protocol import presence_pb2

CODEC = codec.Codec(
    data_classes=presence.MESSAGES, wire_modules=[presence_pb2]
)
LOAD = presence.BackendLoad(
    running=3, waiting=1, queued_tokens=900, slots_used=3, kv_bytes=2**34
)


def make_announcement(
    *,
    backend_id: str = 'be-1',
    incarnation: int = 1,
    sequence: int = 1,
    url: str = 'http://10.1.0.1:9000',
) -> presence.BackendAnnouncement:
    return presence.BackendAnnouncement(
        backend_id=backend_id,
        incarnation=incarnation,
        sequence=sequence,
        service='dieline-llm',
        role=presence.BackendRole.DECODE,
        url=url,
        data_centre='austin-a',
        slots=20,
        checks_fence=True,
    )


class Lan:
    """Instances on a virtual clock; messages wait until delivered."""

    def __init__(self, *ids: str) -> None:
        self.now = 100.0
        self.parts = {
            each: presence.Presence(instance_id=each) for each in ids
        }
        self.wire: list[tuple[str, str, typing.Any]] = []
        self.changes: list[tuple[str, presence.BackendChanged]] = []
        self.hints: list[presence.CacheHints] = []
        self.outcomes: list[presence.PresenceOutcome] = []
        for each in ids:
            self.tell(
                each, presence.SetInstances(now=self.now, instance_ids=ids)
            )

    def tell(self, to: str, event: typing.Any) -> None:
        for effect in self.parts[to].handle(event):
            match effect:
                case parts.Send():
                    self.wire.append((to, effect.to, effect.message))
                case parts.Complete():
                    self.outcomes.append(effect.result)
                case presence.BackendChanged():
                    self.changes.append((to, effect))
                case presence.CacheHints():
                    self.hints.append(effect)

    def receive(self, sender: str, to: str, message: typing.Any) -> None:
        decoded = CODEC.decode(*CODEC.encode(message))
        event = parts.Received(now=self.now, sender=sender, message=decoded)
        self.tell(to, event)

    def deliver(self, *, but: str = '') -> None:
        """Deliver all that is on the wire, and what it leads to."""
        while self.wire:
            sender, to, message = self.wire.pop(0)
            if to != but:
                self.receive(sender, to, message)

    def pass_time(self, seconds: float, *, but: str = '') -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.1
            for each in self.parts:
                self.tell(each, parts.Ticked(now=self.now, entropy=0))
            self.deliver(but=but)

    def announce(self, at: str, *, to: tuple[str, ...], **fields) -> None:
        announcement = make_announcement(**fields)
        self.tell(
            at,
            presence.Announced(
                now=self.now, announcement=announcement, ticket='t'
            ),
        )
        self.tell(
            at,
            presence.Forward(
                now=self.now, backend_id=announcement.backend_id, to=to
            ),
        )

    def renew(
        self,
        at: str,
        sequence: int,
        *,
        incarnation: int = 1,
        cache_events: presence.CacheEvents | None = None,
    ) -> None:
        self.tell(
            at,
            presence.Renewed(
                now=self.now,
                backend_id='be-1',
                incarnation=incarnation,
                sequence=sequence,
                load=LOAD,
                cache_events=cache_events,
                ticket='t',
            ),
        )

    def leave(self, at: str, sequence: int, *, incarnation: int = 1) -> None:
        self.tell(
            at,
            presence.Left(
                now=self.now,
                backend_id='be-1',
                incarnation=incarnation,
                sequence=sequence,
                ticket='t',
            ),
        )

    def usable(self, at: str) -> list[str]:
        return [
            f'{b.announcement.backend_id}/{b.announcement.incarnation}'
            for b in self.parts[at].usable('dieline-llm', self.now)
        ]


class FaultFreeTest(unittest.TestCase):
    def test_announce_renew_and_leave_reach_the_dispatcher(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=('gw-2',))
        lan.deliver()
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))
        for sequence in range(2, 12):
            lan.renew('gw-1', sequence)
            lan.pass_time(1)
        backend = lan.parts['gw-2'].backends_by_id['be-1']
        self.assertEqual(make_announcement(), backend.announcement)
        self.assertEqual(LOAD, backend.load)
        self.assertAlmostEqual(lan.now - 1, backend.load_at, places=3)
        self.assertEqual(['be-1/1'], lan.usable('gw-2'))
        lan.leave('gw-1', 12)
        lan.deliver()
        self.assertEqual([], lan.usable('gw-2'))
        self.assertEqual([True, False], [c.present for _, c in lan.changes])
        self.assertEqual({presence.PresenceOutcome.ACCEPTED}, {*lan.outcomes})

    def test_a_new_dispatcher_is_told_at_once(self):
        lan = Lan('gw-1', 'gw-2', 'gw-3')
        lan.announce('gw-1', to=('gw-2',))
        lan.tell(
            'gw-1',
            presence.Forward(now=lan.now, backend_id='be-1', to=('gw-3',)),
        )
        lan.deliver()
        self.assertEqual(['be-1/1'], lan.usable('gw-3'))
