"""Measures the cost of claims and the gain of group commit; prints JSON.

Run it with ``PYTHONPATH=. python -m benchmarks.claims``. Reducer costs don't
include the codec and the network. Sync costs are those of the machine's
temporary folder, whose file system may sync faster than a disk.
"""

import collections
from collections import abc
import json
import os
import statistics
import tempfile
import time
import typing

from dandeliongw.coordination import claim_messages as messages
from dandeliongw.coordination import claims
from dandeliongw.coordination import parts

HOLDERS = ('A', 'B', 'C')
ENTRY = 'E'
CALLS = 3000
ROUNDS = 5
OUTCOME = b'x' * 512
#: Concurrent calls in the measurement of group commit.
CONCURRENCY = 64
#: Approximate size of a claimed slot in the journal.
RECORD_BYTES = 200
SYNC_SECONDS = 1.0
MEMORY_RECORDS = 100_000


class Cluster:
    """Three holders and an entry; counts messages and syncs."""

    def __init__(self) -> None:
        self.events: collections.deque = collections.deque()
        self.persists: list[tuple[str, parts.Persist]] = []
        self.results_by_ticket: dict[str, typing.Any] = {}
        self.sent = 0
        self.syncs = 0
        self.records = 0
        self.parts_by_id = {
            instance_id: claims.Claims(
                instance_id=instance_id,
                is_holder=instance_id in HOLDERS,
                disk_id=instance_id if instance_id in HOLDERS else None,
                retention_s=3600.0,
                max_records=1_000_000,
                max_outcome_bytes=4096,
                round_trip_s=0.01,
            )
            for instance_id in (*HOLDERS, ENTRY)
        }
        for instance_id in self.parts_by_id:
            self.handle(
                instance_id,
                messages.HoldersChanged(
                    now=0.0,
                    disk_ids_by_holder={one: one for one in HOLDERS},
                    joining={},
                    epoch=1,
                ),
            )
        self.run()
        self.sent = self.syncs = self.records = 0

    def handle(self, instance_id: str, event: typing.Any) -> None:
        """Let a part handle an event, and queue its effects."""
        for effect in self.parts_by_id[instance_id].handle(event):
            match effect:
                case parts.Send(to=to, message=message):
                    self.sent += 1
                    received = parts.Received(
                        now=0.0, sender=instance_id, message=message
                    )
                    self.events.append((to, received))
                case parts.Persist():
                    self.persists.append((instance_id, effect))
                case parts.Complete(ticket=ticket, result=result):
                    self.results_by_ticket[ticket] = result

    def run(self) -> None:
        """Deliver all messages; a sync ends once no messages are pending."""
        while self.events or self.persists:
            while self.events:
                self.handle(*self.events.popleft())
            persists, self.persists = self.persists, []
            for instance_id, persist in persists:
                self.syncs += 1
                self.records += len(persist.records)
                done = parts.Persisted(now=0.0, token=persist.token)
                self.handle(instance_id, done)

    def claim(self, names: abc.Sequence[str]) -> None:
        """Claim these keys and record their outcomes."""
        for name in names:
            begin = messages.Begin(
                now=0.0,
                ticket=name,
                key=name,
                digest=b'd' * 32,
                attempt_id=name,
                deadline_s=10.0,
            )
            self.handle(ENTRY, begin)
        self.run()
        for name in names:
            assert self.results_by_ticket.pop(name) == messages.Granted()
            finish = messages.Finish(
                now=0.0,
                ticket=name,
                key=name,
                attempt_id=name,
                outcome=OUTCOME,
            )
            self.handle(ENTRY, finish)
        self.run()
        for name in names:
            assert self.results_by_ticket.pop(name) == messages.Recorded()


def measure_calls(concurrency: int) -> dict[str, float]:
    """Return the cost of a claimed call, as the sum of all four reducers."""
    samples = []
    for _ in range(ROUNDS):
        cluster = Cluster()
        started = time.perf_counter()
        for first in range(0, CALLS, concurrency):
            last = min(first + concurrency, CALLS)
            cluster.claim([f'key-{n}' for n in range(first, last)])
        samples.append((time.perf_counter() - started) / CALLS)
    return {
        'concurrency': concurrency,
        'reducer_us_per_call': round(statistics.median(samples) * 1e6, 1),
        'messages_per_call': round(cluster.sent / CALLS, 2),
        'records_per_call': round(cluster.records / CALLS, 2),
        'synced_writes_per_call': round(cluster.syncs / CALLS, 3),
    }


def measure_syncs(records_a_sync: int) -> dict[str, float]:
    """Return records a second when each sync covers ``records_a_sync``."""
    record = b'r' * RECORD_BYTES
    count = 0
    with tempfile.TemporaryFile(buffering=0) as journal:
        started = time.perf_counter()
        while time.perf_counter() - started < SYNC_SECONDS:
            journal.write(record * records_a_sync)
            os.fsync(journal.fileno())
            count += records_a_sync
        seconds = time.perf_counter() - started
    return {
        'records_a_sync': records_a_sync,
        'records_per_s': round(count / seconds),
        'ms_per_sync': round(seconds / count * records_a_sync * 1e3, 3),
    }


def measure_memory() -> dict[str, float]:
    """Return the resident bytes that one recorded claim takes at a holder."""
    part = claims.Claims(
        instance_id='A',
        is_holder=True,
        disk_id='A',
        retention_s=3600.0,
        max_records=1_000_000,
        max_outcome_bytes=4096,
        round_trip_s=0.01,
    )
    before = _resident_bytes()
    for number in range(MEMORY_RECORDS):
        part.restore(_slot(number))
    grown = _resident_bytes() - before
    return {
        'records': MEMORY_RECORDS,
        'outcome_bytes': len(OUTCOME),
        'bytes_per_record': round(grown / MEMORY_RECORDS),
    }


def _slot(number: int) -> messages.ClaimSlot:
    """Return a slot that shares no objects with another one."""
    name = f'{number:064d}'
    return messages.ClaimSlot(
        key=name,
        round=0,
        state=messages.SlotState.RECORDED,
        digest=name.encode()[:32],
        attempt_id=f'attempt-{number:024d}',
        deadline_s=10.0,
        outcome=name.encode() * (len(OUTCOME) // 64),
    )


def _resident_bytes() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def main() -> None:
    """Run all measurements and print the figures."""
    figures = {
        'unclaimed_call': {
            'reducer_us_per_call': 0,
            'messages_per_call': 0,
            'synced_writes_per_call': 0,
        },
        'claimed_calls': [measure_calls(1), measure_calls(CONCURRENCY)],
        'syncs': [measure_syncs(count) for count in (1, 8, 64)],
        'memory': measure_memory(),
    }
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    main()
