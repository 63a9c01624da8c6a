"""The quarantine of many instances on a virtual clock and lossy links."""

import random
import typing

from dandeliongw import codec
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence
from dandeliongw.coordination import quarantine
from dandeliongw.protocol import quarantine_pb2
from tests import timeline

CODEC = codec.Codec(
    data_classes=quarantine.MESSAGES, wire_modules=[quarantine_pb2]
)
BAD = 'bad'


class Instances(timeline.Timeline):
    """Instances on links that delay and lose messages.

    :param loss: fraction of the messages that are lost.
    """

    def __init__(self, *, count: int, loss: float, seed: int) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.loss = loss
        self.ids = tuple(f'gw-{number}' for number in range(count))
        self.parts_by_id: dict[str, quarantine.Quarantine] = {}
        self.cut: set[str] = set()
        self.sent_bytes = 0
        self.sent = 0
        self.granted: list[str] = []
        for each in self.ids:
            self.begin(each)
            self._later(self.chance.random(), self._tick, each)

    def begin(self, instance_id: str) -> None:
        """Start an instance, with nothing in memory."""
        self.parts_by_id[instance_id] = quarantine.Quarantine(
            instance_id=instance_id
        )
        self.handle(
            instance_id,
            quarantine.SetPeers(now=self.now, instance_ids=self.ids),
        )

    def handle(self, instance_id: str, event: typing.Any) -> None:
        for effect in self.parts_by_id[instance_id].handle(event):
            if isinstance(effect, parts.Send):
                self._send(instance_id, effect)
            elif isinstance(effect, parts.Complete):
                self.answer(instance_id, effect)

    def answer(self, instance_id: str, effect: parts.Complete) -> None:
        """Process the answer to a request for a trial."""
        if effect.result:
            self.granted.append(instance_id)

    def _send(self, sender: str, effect: parts.Send) -> None:
        kind, body = CODEC.encode(effect.message)
        self.sent += 1
        self.sent_bytes += len(body)
        if self.chance.random() < self.loss or {sender, effect.to} & self.cut:
            return
        delay = self.chance.uniform(0.002, 0.08)
        self._later(delay, self._receive, sender, effect.to, kind, body)

    def _receive(self, sender: str, to: str, kind: str, body: bytes) -> None:
        message = CODEC.decode(kind, body)
        self.handle(
            to, parts.Received(now=self.now, sender=sender, message=message)
        )

    def _tick(self, instance_id: str) -> None:
        entropy = self.chance.getrandbits(64)
        self.handle(instance_id, parts.Ticked(now=self.now, entropy=entropy))
        self._later(0.2, self._tick, instance_id)

    def crash(
        self, instance_id: str, backend_id: str, fingerprint: str = BAD
    ) -> None:
        """Report a crash of a backend server under a call."""
        self.handle(
            instance_id,
            quarantine.Ended(
                now=self.now,
                fingerprint=fingerprint,
                start=presence.BackendStart(
                    backend_id=backend_id, incarnation=1
                ),
                ended_at=self.now,
            ),
        )

    def not_quarantining(self, fingerprint: str = BAD) -> list[str]:
        """Return the instances that would send a call."""
        return [
            each
            for each, part in self.parts_by_id.items()
            if not part.held_s(self.now, fingerprint)
        ]
