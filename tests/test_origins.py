"""What began streams: who keeps it, and what a lookup may conclude."""

import random
import unittest

from nose2.tools import params

from dandeliongw.coordination import origins
from dandeliongw.coordination import parts
from dandeliongw.coordination import placement

VOTERS = ('v1', 'v2', 'v3')
ENTRIES = ('e1', 'e2', 'e3', 'e4', 'e5')
KEPT = origins.KeepResult.KEPT
LATE = origins.KeepResult.LATE
TAKEN = origins.KeepResult.TAKEN
UNKNOWN = origins.LookUpFailure.UNKNOWN
UNANSWERED = origins.LookUpFailure.UNANSWERED
SEVERAL = origins.LookUpFailure.SEVERAL
KEY = b'k' * 16


def origin(version='v1', service='s'):
    return origins.StreamOrigin(service=service, software_version=version)


class Lan:
    """Instances on a virtual clock; messages wait until delivered."""

    def __init__(self, entries=ENTRIES, voters=VOTERS, disks=VOTERS):
        self.now = 100.0
        self.voters, self.entries = voters, entries
        self.disks = disks
        self.records = {each: [] for each in (*disks, *entries)}
        self.parts = {}
        #: Instances that are down, cut off or frozen.
        self.lost = set()
        #: Voters whose disks answer nothing.
        self.stalled = set()
        self.wire = []
        self.results = {}
        self.tickets = 0
        for each in self.records:
            self.start(each)

    def start(self, name):
        """Start an instance, with what is on its disk."""
        part = origins.Origins(instance_id=name, has_disk=name in self.disks)
        for record in self.records[name]:
            part.restore(record)
        self.parts[name] = part
        self.set_keepers(name)

    def set_keepers(self, name):
        members = tuple(
            placement.Member(instance_id=each, data_centre=each)
            for each in self.entries
        )
        self.handle(
            name,
            origins.SetKeepers(
                now=self.now,
                voter_ids=frozenset(self.voters),
                entries=members,
            ),
        )

    def handle(self, name, event):
        for effect in self.parts[name].handle(event):
            match effect:
                case parts.Send():
                    self.wire.append((name, effect.to, effect.message))
                case parts.Complete():
                    self.results[effect.ticket] = effect.result
                case parts.Persist() if name not in self.stalled:
                    self.records[name] += effect.records
                    self.handle(
                        name,
                        parts.Persisted(now=self.now, token=effect.token),
                    )

    def deliver(self):
        while self.wire:
            sender, to, message = self.wire.pop(0)
            if not {sender, to} & self.lost:
                self.handle(
                    to,
                    parts.Received(
                        now=self.now, sender=sender, message=message
                    ),
                )

    def pass_time(self, seconds):
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            for name in self.parts:
                if name not in self.lost:
                    self.handle(name, parts.Ticked(now=self.now, entropy=0))
            self.deliver()

    def form(self):
        """Tell the voters that they are the first ones of a new system."""
        for each in self.voters:
            self.handle(each, origins.KeepersFormed(now=self.now))

    def set_voters(self, *voters):
        """Change the voters, and tell all instances at once."""
        self.voters = voters
        for name in self.parts:
            self.set_keepers(name)

    def keep(self, name, version='v1', key=KEY, keep_s=60.0, service='s'):
        self.tickets += 1
        ticket = str(self.tickets)
        self.handle(
            name,
            origins.Keep(
                now=self.now,
                ticket=ticket,
                stream_key=key,
                origin=origin(version, service),
                keep_s=keep_s,
            ),
        )
        return ticket

    def look_up_sole(self, name, services=('s',)):
        """Return which version alone can have begun a stream."""
        self.tickets += 1
        ticket = str(self.tickets)
        self.handle(
            name,
            origins.LookUpSole(now=self.now, ticket=ticket, services=services),
        )
        self.deliver()
        self.pass_time(1.0)
        return self.results[ticket]

    def look_up(self, name, key=KEY):
        """Return what a lookup that is given time concludes."""
        self.tickets += 1
        ticket = str(self.tickets)
        self.handle(
            name,
            origins.LookUp(now=self.now, ticket=ticket, stream_key=key),
        )
        self.deliver()
        self.pass_time(1.0)
        return self.results[ticket]


class KeepTest(unittest.TestCase):
    """Guards against streams whose version only their entry knows."""

    def setUp(self):
        self.lan = Lan()

    def test_nothing_leaves_before_others_know(self):
        ticket = self.lan.keep('e1')
        self.assertNotIn(ticket, self.lan.results)
        self.lan.deliver()
        self.assertEqual(KEPT, self.lan.results[ticket])

    def test_slow_disks_are_not_waited_for(self):
        self.lan.stalled = set(VOTERS)
        ticket = self.lan.keep('e1')
        self.lan.deliver()
        self.assertEqual(KEPT, self.lan.results[ticket])

    def test_a_majority_of_the_voters_is_enough(self):
        self.lan.lost = {'v3', *ENTRIES[1:]}
        ticket = self.lan.keep('e1')
        self.lan.deliver()
        self.assertEqual(KEPT, self.lan.results[ticket])

    def test_an_entry_that_reaches_nobody_goes_on(self):
        """The stream then begins late, and is not refused."""
        self.lan.lost = {*VOTERS, *ENTRIES[1:]}
        ticket = self.lan.keep('e1')
        self.lan.pass_time(0.2)
        self.assertNotIn(ticket, self.lan.results)
        self.lan.pass_time(0.1)
        self.assertEqual(LATE, self.lan.results[ticket])
        self.lan.lost = set()
        self.lan.pass_time(1.0)
        self.lan.lost = {'e1'}
        self.assertEqual(origin(), self.lan.look_up('e2'))

    def test_a_second_stream_of_one_id_holds_up_no_first(self):
        self.lan.lost = {*VOTERS, *ENTRIES[1:]}
        first = self.lan.keep('e1')
        self.lan.keep('e1')
        self.assertEqual(LATE, self.lan.results[first])

    def test_a_voter_confirms_what_is_on_its_disk(self):
        """Guards against a version that a loss of power makes unknown."""
        self.lan.lost = set(ENTRIES[1:])
        self.lan.stalled = {'v2', 'v3'}
        ticket = self.lan.keep('e1')
        self.lan.pass_time(0.2)
        self.assertNotIn(ticket, self.lan.results)


class LookUpTest(unittest.TestCase):
    """Guards against streams that go on at a version that is guessed."""

    def setUp(self):
        self.lan = Lan()

    def keep(self, **changes):
        self.lan.keep('e1', **changes)
        self.lan.deliver()

    @params(
        ((), ()),
        (('e1',), ()),
        (('e1', 'v1'), ()),
        (VOTERS, ()),
        # All instances lose power; the entries' memory is gone.
        ((), (*VOTERS, *ENTRIES)),
    )
    def test_it_is_found(self, lost, restarted):
        self.keep()
        self.lan.lost = set(lost)
        for each in restarted:
            self.lan.start(each)
        for entry in set(ENTRIES) - self.lan.lost:
            self.assertEqual(origin(), self.lan.look_up(entry))

    def test_an_entry_that_has_just_started_finds_it(self):
        self.keep()
        self.lan.lost = {'e1'}
        self.lan.start('e4')
        self.assertEqual(origin(), self.lan.look_up('e4'))

    def test_what_nobody_knows_is_unknown(self):
        self.assertEqual(UNKNOWN, self.lan.look_up('e2'))

    def test_an_entry_without_voters_knows_that_it_knows_nothing(self):
        self.lan.lost = set(VOTERS)
        self.assertEqual(UNANSWERED, self.lan.look_up('e2'))

    def test_one_silent_voter_makes_nothing_unanswered(self):
        self.lan.lost = {'v3'}
        self.assertEqual(UNKNOWN, self.lan.look_up('e2'))

    @params(('v1', KEPT), ('v2', TAKEN))
    def test_a_second_stream_under_one_id(self, version, expected):
        self.keep()
        ticket = self.lan.keep('e2', version=version)
        self.lan.deliver()
        self.assertEqual(expected, self.lan.results[ticket])
        self.lan.lost = {'e2'}
        for entry in ENTRIES[2:]:
            self.assertEqual(origin(), self.lan.look_up(entry))

    def test_it_is_forgotten_when_its_caller_is_gone(self):
        self.keep(keep_s=10.0)
        self.lan.pass_time(9.0)
        self.assertEqual(origin(), self.lan.look_up('e3'))
        self.lan.pass_time(2.0)
        self.assertEqual(UNKNOWN, self.lan.look_up('e3'))

    def test_a_snapshot_restores_what_a_voter_keeps(self):
        self.keep()
        self.lan.records['v1'] = list(self.lan.parts['v1'].snapshot())
        self.lan.lost = {'v2', 'v3', *ENTRIES[:-1]}
        self.lan.start('v1')
        self.assertEqual(origin(), self.lan.look_up('e5'))


class LookUpSoleTest(unittest.TestCase):
    """Guards against streams that go on at whatever version serves now.

    Their callers don't name the call that began them.
    """

    def setUp(self):
        self.lan = Lan(voters=VOTERS, disks=(*VOTERS, 'v4', 'v5', 'v6'))
        self.lan.form()

    def keep(self, *versions, service='s'):
        for number, version in enumerate(versions):
            key = f'{service}{version}{number}'.encode()
            self.lan.keep('e1', version=version, key=key, service=service)
            self.lan.deliver()

    def test_the_one_version_that_has_begun_streams(self):
        self.keep('v1', 'v1')
        self.assertEqual(origin(), self.lan.look_up_sole('e2'))

    def test_several_versions(self):
        self.keep('v1', 'v2')
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2'))

    def test_nothing_has_begun(self):
        self.assertEqual(UNKNOWN, self.lan.look_up_sole('e2'))

    def test_other_services_do_not_matter(self):
        self.keep('v1')
        self.keep('v2', service='other')
        self.assertEqual(origin(), self.lan.look_up_sole('e2'))
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2', ('s', 'other')))
        self.assertEqual(
            origin('v2', 'other'), self.lan.look_up_sole('e2', ('other',))
        )

    @params((VOTERS,), (ENTRIES,), ((*VOTERS, *ENTRIES),))
    def test_all_are_killed_at_once(self, killed):
        """The version that began them has left, and nobody remembers it."""
        self.keep('v1')
        for each in killed:
            self.lan.start(each)
        self.keep('v2')
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2'))

    def test_a_version_counts_until_its_callers_are_gone(self):
        self.keep('v1')
        self.lan.pass_time(30.0)
        self.keep('v2')
        self.lan.pass_time(29.0)
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2'))
        self.lan.pass_time(1.0)
        self.assertEqual(origin('v2'), self.lan.look_up_sole('e2'))

    def test_a_minority_of_the_voters_does_not_decide(self):
        self.keep('v1')
        self.lan.lost = {'v2', 'v3'}
        self.assertEqual(UNANSWERED, self.lan.look_up_sole('e2'))

    def test_an_entry_counts_what_it_has_begun_itself(self):
        self.keep('v1')
        self.lan.lost = set(VOTERS)
        self.lan.keep('e2', version='v2')
        self.lan.lost = set()
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2'))

    def test_a_new_voter_asks_the_others_first(self):
        """Guards against a majority of disks that were never told."""
        self.keep('v1')
        for old, new in (('v1', 'v4'), ('v2', 'v5'), ('v3', 'v6')):
            left = [each for each in self.lan.voters if each != old]
            self.lan.set_voters(*left, new)
            self.lan.pass_time(6.0)
            self.lan.lost |= {old}
        self.keep('v2')
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2'))
        for each in self.lan.voters:
            self.lan.start(each)
        self.assertEqual(SEVERAL, self.lan.look_up_sole('e2'))

    def test_a_voter_that_could_not_ask_does_not_count(self):
        self.keep('v1')
        self.lan.set_voters('v1', 'v4', 'v5')
        self.lan.lost = {'v1'}
        self.lan.pass_time(10.0)
        self.assertEqual(UNANSWERED, self.lan.look_up_sole('e2'))

    def test_a_voter_that_lost_its_vote_is_not_complete_any_more(self):
        self.lan.set_voters('v1', 'v2', 'v4')
        self.lan.pass_time(6.0)
        self.keep('v1')
        self.lan.start('v3')
        self.lan.lost = {'v1', 'v2'}
        self.lan.set_voters('v2', 'v3', 'v4')
        self.assertEqual(UNANSWERED, self.lan.look_up_sole('e2'))

    def test_a_snapshot_restores_what_a_voter_was_told(self):
        self.keep('v1')
        self.lan.set_voters('v2', 'v3', 'v4')
        self.lan.pass_time(6.0)
        self.lan.records['v4'] = list(self.lan.parts['v4'].snapshot())
        self.lan.start('v4')
        self.lan.lost = {'v2'}
        self.assertEqual(origin(), self.lan.look_up_sole('e2'))

    @params(*range(50))
    def test_it_is_never_guessed(self, seed):
        """Guards against orders of losses and restarts that nobody drew."""
        choose = random.Random(seed)
        begun = {}
        for number in range(30):
            self.lan.lost = set(
                choose.sample(VOTERS, choose.choice((0, 0, 1, 1, 3)))
                + choose.sample(ENTRIES, choose.randint(0, 3))
            )
            for each in choose.sample(VOTERS, choose.randint(0, 3)):
                self.lan.start(each)
            for each in choose.sample(ENTRIES, choose.choice((0, 1, 5))):
                self.lan.start(each)
            entry = choose.choice(sorted(set(ENTRIES) - self.lan.lost))
            version = choose.choice(('v1', 'v1', 'v1', 'v2'))
            ticket = self.lan.keep(
                entry, version=version, key=bytes([number]) * 16, keep_s=15.0
            )
            self.lan.deliver()
            is_stored = len(set(VOTERS) & self.lan.lost) < 2
            if is_stored and self.lan.results.get(ticket) is KEPT:
                begun[self.lan.now + 15.0] = version
            self.lan.pass_time(choose.uniform(0.0, 4.0))
            other = choose.choice(sorted(set(ENTRIES) - self.lan.lost))
            answer = self.lan.look_up_sole(other)
            lasting = {
                each for end, each in begun.items() if end > self.lan.now
            }
            if isinstance(answer, origins.StreamOrigin):
                self.assertLessEqual(lasting, {answer.software_version})


class SimulationTest(unittest.TestCase):
    """Guards against orders of losses, cuts and restarts that nobody drew."""

    @params(*range(200))
    def test_a_stream_never_changes_its_version(self, seed):
        choose = random.Random(seed)
        lan = Lan()
        begun = {}
        found = 0
        asked = 0
        for number in range(30):
            lan.lost = set(
                choose.sample(VOTERS, choose.choice((0, 0, 1, 1, 3)))
                + choose.sample(ENTRIES, choose.randint(0, 3))
            )
            lan.stalled = set(choose.sample(VOTERS, choose.choice((0, 1, 3))))
            for each in choose.sample(sorted(lan.parts), choose.randint(0, 2)):
                lan.start(each)
            entry = choose.choice(sorted(set(ENTRIES) - lan.lost))
            key = bytes([number]) * 16
            version = choose.choice(('v1', 'v2'))
            ticket = lan.keep(entry, version=version, key=key)
            lan.pass_time(choose.choice((0.05, 0.3)))
            # The first piece leaves when it may.
            begun[key] = version, lan.results.get(ticket)
            other = choose.choice(sorted(set(ENTRIES) - lan.lost))
            key = choose.choice(sorted(begun))
            answer = lan.look_up(other, key=key)
            if isinstance(answer, origins.StreamOrigin):
                self.assertEqual(begun[key][0], answer.software_version)
                found += 1
            asked += 1
        self.assertGreater(found, asked / 2)


if __name__ == '__main__':
    unittest.main()
