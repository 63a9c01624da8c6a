"""Measures memory and disk use per claim, replica, account and so on."""

from collections import abc
import gc
import json
import tracemalloc
import typing

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_types
from dandeliongw.coordination import claim_messages
from dandeliongw.coordination import claims
from dandeliongw.coordination import presence
from dandeliongw import document
from dandeliongw import wire

from tools import capacity_changes as changes
from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_network as networks


def by_memory(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure memory by size, with tracemalloc, and the journal of claims."""
    for name, per, counts, make in (
        ('memory of claims', 'claimed call', sizes.slots, _claim_slots),
        ('memory of presence', 'replica', sizes.slots, _presences),
        ('memory of known prefixes', 'block', sizes.slots, _blocks),
        ('memory of the document', 'client account', sizes.accounts, _parsed),
        ('memory of the history', 'change', sizes.records, _history),
        ('memory of a reducer', 'instance', sizes.members, _network),
    ):
        points = [(count, _allocated(make, count)) for count in counts]
        yield fits.fit(name, unit='B', per=per, points=points)
    codec = wire.make_codec()
    body = codec.encode(_claim_slot(1))[1]
    yield fits.fit(
        'journal of claims',
        unit='B',
        per='claimed call',
        # Two records a claim: one when granted, one with the outcome.
        points=[(1, 2 * len(body)), (2, 4 * len(body))],
    )


def _allocated(
    make: abc.Callable[[int], tuple[typing.Any, float]], count: int
) -> float:
    gc.collect()
    tracemalloc.start()
    kept, copies = make(count)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / copies


def _claim_slot(number: int) -> claim_messages.ClaimSlot:
    return claim_messages.ClaimSlot(
        key=f'account-17/desk/{number:032x}',
        round=0,
        state=claim_messages.SlotState.RECORDED,
        digest=number.to_bytes(32, 'big'),
        attempt_id=f'{number:032x}',
        deadline_s=10.0,
        outcome=f'{{"booked": "a horse for {number}"}}'.encode() * 5,
        kept=True,
    )


def _claim_slots(count: int) -> tuple[typing.Any, float]:
    part = claims.Claims(
        instance_id='entry-000',
        is_holder=True,
        disk_id='disk',
        retention_s=86400.0,
        max_records=10**6,
        max_outcome_bytes=65536,
        round_trip_s=0.05,
    )
    for number in range(count):
        part.restore(_claim_slot(number))
    return part, 1


def _presences(count: int) -> tuple[typing.Any, float]:
    part = presence.Presence(instance_id='entry-000')
    for number in range(count):
        announcement = presence.BackendAnnouncement(
            backend_id=f'engine-{number:04}',
            incarnation=1,
            sequence=1,
            service='model-0',
            role=presence.BackendRole.DECODE,
            url=f'http://10.9.{number // 200}.{number % 200 + 1}:9000',
            data_centre='centre-0',
            slots=20,
            checks_fence=True,
        )
        part.handle(
            presence.Announced(now=1.0, announcement=announcement, ticket='')
        )
        part.handle(
            presence.Forward(
                now=1.0,
                backend_id=announcement.backend_id,
                to=('entry-000', 'entry-001'),
            )
        )
    return part, 1


def _blocks(count: int) -> tuple[typing.Any, float]:
    state = backend_state.BackendState(
        backend=cell_types.CellBackend(
            backend_id='engine-1',
            incarnation=1,
            role=cell_types.Role.PREFILL,
            url='http://10.9.9.9:9000',
            slots=4,
        )
    )
    block_count = min(count, backend_state.MAX_BLOCKS)
    state.add_blocks([f'{block:016x}' for block in range(block_count)])
    return state, 1


def _history(count: int) -> tuple[typing.Any, float]:
    return tuple(changes.make_record(number) for number in range(count)), 1


def _parsed(count: int) -> tuple[typing.Any, float]:
    tree = networks.make_document(models=6, accounts=count)
    body = json.dumps(tree).encode()
    del tree
    parsed = document.parse_document(body)
    return (parsed, parsed.accounts_by_key_sha256), 1


def _network(count: int) -> tuple[typing.Any, float]:
    network = networks.Network(instances=count, voters=3)
    network.start(networks.make_document(models=0, accounts=1))
    return network, count
