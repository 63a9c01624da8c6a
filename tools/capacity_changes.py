"""Measures changes of the document and the size of the configuration."""

import collections
from collections import abc

from dandeliongw.coordination import ballot as ballots
from dandeliongw.coordination import configuration
from dandeliongw.coordination import register_messages
from dandeliongw.coordination import voters as voter_sets
from dandeliongw import wire

from tools import capacity_common as common
from tools import capacity_fits as fits
from tools import capacity_network as networks


def by_changes(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure sequential changes, by the number of accounts."""
    points = collections.defaultdict(list)
    for accounts in sizes.accounts:
        tree = networks.make_document(models=6, accounts=accounts)
        network = networks.Network(instances=9, voters=5)
        network.start(tree)
        network.run(3.0)
        network.reset()
        waits = []
        changes = 3
        for number in range(changes):
            tree['accounts'][0]['max_in_flight'] -= 1
            revision = network.revision_everywhere() + 1
            network.propose(tree, f'change-{number}')
            waits.append(
                network.run_until(
                    lambda revision=revision: (
                        network.revision_everywhere() >= revision
                    ),
                    30.0,
                )
            )
        nodes = list(network.nodes_by_id.values())
        voters = [each.meter for each in nodes if common.is_voter(each)]
        others = [each.meter for each in nodes if not common.is_voter(each)]
        for name, unit, value in (
            ('change bytes at an entry', 'B', _register_bytes(others)),
            ('change bytes at a voter', 'B', _register_bytes(voters)),
            (
                'change processor time at an entry',
                'us',
                common.mean(each.cpu_s_by_part['register'] for each in others)
                * common.MICRO,
            ),
        ):
            points[name, unit].append((accounts, value / changes))
        points['seconds until in force everywhere', 's'].append(
            (accounts, max(waits))
        )
    yield from common.fit_lines(points, 'client account')


def _register_bytes(meters: list[networks.Meter]) -> float:
    return common.mean(each.bytes_by_part['register'] for each in meters)


def by_history(sizes: common.Sizes) -> abc.Iterator[fits.Fit]:
    """Measure the full configuration, sent to instances far behind."""
    codec = wire.make_codec()
    points = []
    for count in sizes.records:
        full = configuration.Configuration(
            revision=count,
            document=b'',
            author='operator',
            changes=tuple(make_record(number) for number in range(count)),
            voters=voter_sets.Voters(
                voters_by_id={}, joining_by_id={}, number=1
            ),
        )
        update = configuration.VersionUpdate(
            ballot=ballots.Ballot(number=1, proposer='entry-000', nonce=1),
            full=full,
        )
        confirmed = register_messages.ConfigurationConfirmed(
            ask_id=1, update=update
        )
        points.append((count, len(codec.encode(confirmed)[1])))
    yield fits.fit(
        'bytes of the whole configuration',
        unit='B',
        per='change in its history',
        points=points,
    )


def make_record(number: int) -> configuration.ChangeRecord:
    """Return a record of one change in the history."""
    return configuration.ChangeRecord(
        change_id=f'{number:032x}',
        revision=number,
        digest=number.to_bytes(configuration.DIGEST_BYTES, 'big'),
        author='maribel',
    )
