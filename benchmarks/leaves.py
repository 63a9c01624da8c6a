"""Measures what one leave of a backend server costs; prints JSON lines.

Run ``python -m benchmarks.leaves``; it takes a minute. Only the reducers run,
in one process on a virtual clock; syncs take :data:`SYNC_S`.
"""

import json

from benchmarks import membership as membership_benchmark
from dandeliongw.coordination import parts
from dandeliongw.coordination import presence

SYNC_S = 0.005
VOTERS = 12
#: Seconds observed after a leave.
OBSERVED_S = 5.0


class Network(membership_benchmark.Network):
    """Adds disks."""

    _synced = 0

    def sync(self) -> None:
        """Let the disks confirm what was written since the last time."""
        written, self._synced = self.log[self._synced :], len(self.log)
        for at, instance_id, effect in written:
            if isinstance(effect, parts.Persist):
                done_at = at + SYNC_S
                self.handle_event(
                    instance_id,
                    parts.Persisted(now=done_at, token=effect.token),
                    done_at,
                )


def measure(count: int, *, loss: float, is_lost: bool) -> dict:
    """Return what one leave costs among ``count`` instances.

    :param loss: fraction of messages that are lost.
    :param is_lost: whether the instance that was asked stops when it has
        answered.
    """
    ids = tuple(f'gw-{number}' for number in range(count))
    voters = frozenset(ids[: min(VOTERS, count)])
    network = Network(
        part_by_id={
            each: presence.Presence(instance_id=each, has_disk=each in voters)
            for each in ids
        },
        loss=loss,
    )
    for each in ids:
        for event in (
            presence.SetInstances(now=0.0, instance_ids=ids),
            presence.SetVoters(now=0.0, voter_ids=voters),
        ):
            network.handle_event(each, event)
    network.run(1.0)
    network.reset()
    asked, began_at = ids[0], network.now
    network.handle_event(
        asked,
        presence.Left(
            now=network.now,
            backend_id='be-1',
            incarnation=1,
            sequence=1,
            ticket='leave',
        ),
        network.now,
    )
    while network.now < began_at + OBSERVED_S:
        network.run(membership_benchmark.TICK_S)
        network.sync()
        is_answered = any(
            isinstance(effect, parts.Complete) for _, _, effect in network.log
        )
        if is_lost and is_answered:
            network.stopped.add(asked)
    heard_s = [
        at - began_at
        for at, _, effect in network.log
        if isinstance(effect, presence.DepartureHeard)
    ]
    answered_s = [
        at - began_at
        for at, _, effect in network.log
        if isinstance(effect, parts.Complete)
    ]
    return {
        'instances': count,
        'loss': loss,
        'asked_is_lost': is_lost,
        'answered_s': round(min(answered_s), 3),
        'heard_by': len(heard_s),
        'last_heard_s': round(max(heard_s), 3),
        'messages': sum(network.sent.values()),
        'bytes': sum(network.sent_bytes.values()),
        'most_bytes_of_one': max(network.sent_bytes.values()),
        'reducers_ms': round(network.handle_s * 1000, 1),
    }


def main() -> None:
    """Print one line for each case."""
    for count in (12, 350):
        for loss, is_lost in (
            (0.0, False),
            (0.05, False),
            (0.0, True),
            (0.05, True),
        ):
            print(json.dumps(measure(count, loss=loss, is_lost=is_lost)))


if __name__ == '__main__':
    main()
