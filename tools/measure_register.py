"""Measures the register: rounds and bytes of a change, and journal syncs.

``python -m tools.measure_register FOLDER`` writes a journal below FOLDER,
which should be on a disk like those of voters.
"""

import collections
import pathlib
import sys
import tempfile
import time

from dandeliongw import codec as codecs
from dandeliongw.coordination import ballot as ballots
from dandeliongw.coordination import configuration as configurations
from dandeliongw.coordination import register_messages as messages
from dandeliongw.coordination import voters as voter_sets
from dandeliongw import journal as journals
from dandeliongw.protocol import envelope_pb2
from dandeliongw.protocol import register_pb2
from tests import test_register

CODEC = codecs.Codec(
    data_classes=[*messages.MESSAGES, *messages.RECORDS],
    wire_modules=[register_pb2],
)
#: A placeholder of the keyed hash, and the framing of an envelope.
PROOF = bytes(32)
FRAMING_BYTES = 5
STEADY_S = 24.0
DOCUMENT = b''.join(
    b'{"service": "s%d", "pool": "p%d", "priority": %d},\n' % (n, n * 7, n % 5)
    for n in range(400)
)


def size_of(envelope: tuple) -> int:
    """Return the size of a message with its envelope and framing."""
    sender, to, message = envelope
    kind, body = CODEC.encode(message)
    wire = envelope_pb2.Envelope(
        sender=sender,
        incarnation=2**40,
        recipient=to,
        kind=kind,
        body=body,
        proof=PROOF,
    )
    return wire.ByteSize() + FRAMING_BYTES


def make_cluster(voters: int, others: int, ttl_s: float):
    """Return a formed cluster with a confirmed configuration everywhere."""
    names = [f'gw-{n:03}' for n in range(voters + others)]
    cluster = test_register.Cluster(
        voters=tuple(names[:voters]),
        others=tuple(names[voters:]),
        ttl_s=ttl_s,
    )
    cluster.run(2 * ttl_s)
    return cluster


def measure_steady(voters: int, others: int, ttl_s: float) -> None:
    """Print the bytes a second of voters and of other instances, when idle."""
    cluster = make_cluster(voters, others, ttl_s)
    cluster.sent.clear()
    cluster.run(STEADY_S)
    sent = collections.Counter()
    received = collections.Counter()
    for envelope in cluster.sent:
        if envelope[0] != envelope[1]:
            sent[envelope[0]] += size_of(envelope)
            received[envelope[1]] += size_of(envelope)
    names = list(cluster.by_id)
    for role, members in (
        ('voter', names[:voters]),
        ('other', names[voters:]),
    ):
        both = [(sent[n] + received[n]) / STEADY_S for n in members]
        print(
            f'{voters} voters, {others} others, ttl {ttl_s:.0f} s: {role} '
            f'mean {sum(both) / len(both):.0f} B/s, most {max(both):.0f} B/s '
            f'(sent and received)'
        )


def measure_change(voters: int, others: int, ttl_s: float) -> None:
    """Print the rounds, the durations and the bytes of one change."""
    cluster = make_cluster(voters, others, ttl_s)
    proposer = list(cluster.by_id)[-1]
    cluster.sent.clear()
    ticket = cluster.propose(
        proposer, change_id='c' * 36, expected=0, document=DOCUMENT
    )
    rounds = 0
    while cluster.result(proposer, ticket) is None:
        batch, cluster.queue = cluster.queue, []
        for envelope in batch:
            cluster.deliver_one(envelope)
        rounds += 1
    accepted_at = cluster.now
    while not is_in_force(cluster, proposer):
        cluster.run(test_register.TICK_S)
    kinds = collections.Counter()
    for envelope in cluster.sent:
        if envelope[0] != envelope[1]:
            kinds[type(envelope[2]).__name__] += size_of(envelope)
    writing = (
        messages.PrepareBallot,
        messages.BallotPromised,
        messages.AcceptVersion,
        messages.VersionAccepted,
    )
    written = sum(kinds[kind.__name__] for kind in writing)
    print(
        f'{voters} voters, {others} others, ttl {ttl_s:.0f} s: accepted after '
        f'{rounds} one-way messages and {written} B; confirmed by all '
        f'{cluster.now - accepted_at:.2f} s later (network takes no time); '
        f'{sum(kinds.values())} B in all, document {len(DOCUMENT)} B, packed '
        f'{len(configurations.pack(DOCUMENT))} B'
    )


def is_in_force(cluster, proposer: str) -> bool:
    """Return whether the proposer has confirmations of all instances."""
    states = cluster.part(proposer).in_force(1, cluster.now)
    return set(states.values()) == {'confirmed'}


def measure_value() -> None:
    """Print the size and the codec times of a value with a full history."""
    records = tuple(
        configurations.ChangeRecord(
            change_id=f'{n:036}',
            revision=n,
            digest=configurations.digest(n),
            author='operator',
        )
        for n in range(configurations.CHANGES_KEPT)
    )
    voters = {f'gw-{n}': f'{n:032}' for n in range(12)}
    configuration = configurations.Configuration(
        revision=len(records),
        document=configurations.pack(DOCUMENT),
        author='operator',
        changes=records,
        voters=voter_sets.Voters(voters_by_id=voters),
    )
    ballot = ballots.Ballot(number=1, proposer='gw-1', nonce=1)
    record = messages.AcceptanceRecord(
        update=configurations.VersionUpdate(ballot=ballot, full=configuration)
    )
    started = time.perf_counter()
    kind, body = CODEC.encode(record)
    encoded = time.perf_counter()
    CODEC.decode(kind, body)
    decoded = time.perf_counter()
    print(
        f'value with {len(records)} records: {len(body)} B, encoded in '
        f'{(encoded - started) * 1e3:.0f} ms, decoded in '
        f'{(decoded - encoded) * 1e3:.0f} ms'
    )


def measure_journal(folder: pathlib.Path, batch: int, rounds: int) -> None:
    """Print how many batches of promises are synced a second."""
    record = messages.PromiseRecord(
        ballot=ballots.Ballot(number=1, proposer='gw-1', nonce=1),
        forming_by_id={},
    )
    with tempfile.TemporaryDirectory(dir=folder) as name:
        with journals.open_journal(folder=name, codec=CODEC) as journal:
            times = []
            for _ in range(rounds):
                started = time.perf_counter()
                journal.append([record] * batch)
                times.append(time.perf_counter() - started)
    times.sort()
    print(
        f'journal, {batch} records a sync: {rounds / sum(times):.0f} syncs/s, '
        f'{batch * rounds / sum(times):.0f} records/s, sync median '
        f'{times[rounds // 2] * 1e3:.2f} ms, 99 in 100 under '
        f'{times[rounds * 99 // 100] * 1e3:.2f} ms'
    )


def main() -> None:
    """Run all measurements."""
    folder = pathlib.Path(sys.argv[1])
    for batch in (1, 10, 100):
        measure_journal(folder, batch, 300)
    measure_value()
    measure_change(3, 6, 5.0)
    measure_steady(3, 6, 5.0)
    measure_change(12, 338, 15.0)
    measure_steady(12, 338, 12.0)
    measure_steady(12, 338, 15.0)


if __name__ == '__main__':
    main()
