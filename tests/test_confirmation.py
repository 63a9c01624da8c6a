"""Confirmations over slow links, and repair of unfinished changes."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import configuration
from dandeliongw.coordination import confirmation
from dandeliongw.coordination import parts
from dandeliongw.coordination import register_messages as messages
from tests import register_network

#: The TTL for a system where a change has to be in force within 2.5 s.
TTL_S = 1.875
IN_FORCE_S = 2.5


def make_network(**options):
    network = register_network.Network(
        **{'voters': 9, 'entries': 80, 'ttl_s': TTL_S, **options}
    )
    network.run(3.0)
    network.change('voter-1', 1)
    network.run(2.0)
    return network


def slow_links(network, instance_ids, extra_s):
    """Add latency to all messages from and to some instances.

    :param extra_s: in seconds, for each end of a message that is slow.
    """
    slow = frozenset(instance_ids)

    def delay_s(sender, to, message):
        ends = (sender in slow) + (to in slow)
        return register_network.HOP_S + ends * extra_s

    network.delay_s = delay_s


class SlowLinkTest(unittest.TestCase):
    """Guards against 404 for a route that was added 2.5 s before.

    In a burst the packets of an entry wait for its link, 0.2 s each way, so
    each answer of a voter arrives after 0.4 s, when the entry has sent its
    next request. If only answers to the latest request counted, 0 of 80
    entries would be confirmed after 10 s (all 80 with 0.1 s each way), and
    entries without a hint or gossip would keep the old document for as long
    as the links are slow, 10 s of 10 s.
    """

    def setUp(self):
        self.network = make_network()

    def test_a_late_confirmation_counts(self):
        """If it did not, the entries would not be fresh for 9.2 s of 9.2 s."""
        slow_links(self.network, ('entry-7', 'entry-8'), 0.2)
        self.network.run(3.0)
        for _ in range(100):
            self.network.run(0.05)
            for entry in ('entry-7', 'entry-8'):
                part = self.network.part(entry)
                self.assertTrue(part.is_fresh(self.network.now))

    def test_a_change_is_in_force_where_all_links_are_slow(self):
        """The entries get it from voters alone, without hints or gossip."""
        slow_links(self.network, self.network.entries, 0.2)
        self.network.loses = lambda sender, to, message: isinstance(
            message, (messages.LearnerQuery, messages.ConfigurationHint)
        )
        self.network.run(3.0)
        acknowledged_at = self.network.change('voter-1', 2)
        self.network.run(acknowledged_at + IN_FORCE_S - self.network.now)
        late = [
            entry
            for entry in self.network.entries
            if self.network.order(entry) < 2
        ]
        self.assertEqual([], late)

    def test_a_voter_that_answers_late_does_not_count_as_failed(self):
        """Otherwise requests to more voters would load a saturated link."""
        slow_links(self.network, ('entry-7',), 0.2)
        self.network.run(3.0)
        sent = []
        self.network.loses = lambda sender, to, message: (
            sent.append(message) if sender == 'entry-7' else None
        )
        self.network.run(10.0)
        requests = [
            each
            for each in sent
            if isinstance(each, messages.ConfirmConfiguration)
        ]
        # With answers in time, a request is sent every 0.56 s.
        self.assertLess(len(requests), 45)


class SlowVotersTest(unittest.TestCase):
    """Guards against entries without a confirmation while voters are healthy.

    Messages between voters take 0.15 s, so reports arrive after 0.3 s, when
    the check that they belong to has timed out after 0.19 s and the next one
    has begun. If only reports to the latest check counted, 0 of 80 entries
    would be confirmed after 10 s, and 79 of 80 with 0.1 s.
    """

    def setUp(self):
        self.network = make_network()
        voters = frozenset(self.network.voters)
        self.network.delay_s = lambda sender, to, message: (
            register_network.HOP_S + 0.15 * (voters >= {sender, to})
        )
        self.network.run(3.0)

    def test_late_reports_count(self):
        for _ in range(100):
            self.network.run(0.05)
            fresh = [
                entry
                for entry in self.network.entries
                if self.network.part(entry).is_fresh(self.network.now)
            ]
            self.assertEqual(len(self.network.entries), len(fresh))


class RepairTest(unittest.TestCase):
    @params(0.03, 0.1)
    def test_a_change_in_progress_is_not_repaired(self, hop_s):
        """Guards against endless ballots after a single change.

        A check during a change finds no common version. If that were taken
        for the change of a dead proposer, it would be repaired by a new
        ballot, which the checks of other voters would find unfinished in
        turn.
        """
        network = make_network()
        voters = frozenset(network.voters)
        network.delay_s = lambda sender, to, message: (
            register_network.HOP_S + hop_s * (voters >= {sender, to})
        )
        network.run(4.0)
        network.change('voter-1', 2)
        prepares = []
        network.loses = lambda sender, to, message: (
            prepares.append(message)
            if isinstance(message, messages.PrepareBallot)
            else None
        )
        network.run(10.0)
        self.assertEqual([], prepares)

    def test_a_change_that_some_voters_lack_yet_is_not_repaired(self):
        """Guards against a repair that is started during a slow change.

        Two of nine voters are down. If checks that begin with the change
        repaired it, only 57 of 80 entries would be confirmed 10 s after it.
        """
        network = make_network()
        voters = frozenset(network.voters)
        for voter in ('voter-8', 'voter-9'):
            network.stop(voter)
        network.delay_s = lambda sender, to, message: (
            register_network.HOP_S + 0.05 * (voters >= {sender, to})
        )
        network.run(4.0)
        network.change('voter-1', 2)
        network.run(10.0)
        fresh = [
            entry
            for entry in network.entries
            if network.part(entry).is_fresh(network.now)
        ]
        self.assertEqual(len(network.entries), len(fresh))

    @params(1, 2, 3, 4)
    def test_an_unfinished_change_is_repaired_soon(self, seed):
        """No instance is confirmed until then, so one TTL is the bound."""
        network = make_network(seed=seed)
        network.stop('voter-9')
        holders = ('voter-1', 'voter-2', 'voter-3', 'voter-4')
        network.loses = lambda sender, to, message: (
            isinstance(message, messages.AcceptVersion) and to not in holders
        )
        network.propose('voter-1', 2)
        network.run(0.1)
        network.loses = lambda sender, to, message: False
        # Four of nine voters hold the change, four don't, one is down.
        network.start('voter-1')
        network.run(TTL_S)
        fresh = [
            each
            for each in network.entries
            if network.part(each).is_fresh(network.now)
        ]
        self.assertEqual(len(network.entries), len(fresh))
        self.assertEqual({2}, {network.order(each) for each in fresh})


class CheckerTest(unittest.TestCase):
    """One voter of three, whose messages the test sends and examines."""

    def setUp(self):
        self.network = register_network.Network(
            voters=3, entries=0, ttl_s=TTL_S
        )
        self.network.run(2.0)
        self.network.change('voter-1', 1)
        self.network.run(2.0)
        self.voter = self.network.part('voter-1')
        self.now = self.network.now + TTL_S

    def receive(self, sender, message):
        event = parts.Received(now=self.now, sender=sender, message=message)
        return [
            effect.message
            for effect in self.voter.handle(event)
            if isinstance(effect, parts.Send)
        ]

    def request(self, ask_id, sender='entry-1'):
        request = messages.ConfirmConfiguration(ask_id=ask_id, base=None)
        return self.receive(sender, request)

    def report(self, check, voter):
        return self.receive(
            voter,
            messages.AcceptedReport(
                from_disk_id=f'disk-{voter}',
                check_id=check.check_id,
                accepted=self.voter._register_state.known.ballot,
            ),
        )

    def end(self, check):
        """Return the ids of the requests that the check answers."""
        answers = self.report(check, 'voter-2') + self.report(check, 'voter-3')
        return [each.ask_id for each in answers]

    def test_a_check_answers_requests_from_before_it_began(self):
        check = self.request(1)[0]
        self.now += 0.01
        self.request(2, 'entry-2')
        self.assertEqual([1], self.end(check))

    def test_the_later_request_of_one_instance_is_answered(self):
        """The next check answers it, as the first one had begun before it."""
        first = self.request(1)[0]
        self.request(2)
        self.assertEqual([], self.end(first))
        self.now += 0.3
        second = self.request(3, 'entry-2')[0]
        self.assertEqual([2, 3], self.end(second))

    def test_a_later_check_answers_requests_left_by_an_earlier_one(self):
        self.request(1)
        self.now += 0.3
        check = self.request(2, 'entry-2')[0]
        self.assertEqual([1, 2], self.end(check))

    def test_an_earlier_check_that_ends_late_answers_its_requests(self):
        first = self.request(1)[0]
        self.now += 0.3
        second = self.request(2, 'entry-2')[0]
        self.assertNotEqual(first.check_id, second.check_id)
        self.assertEqual([1], self.end(first))
        self.assertEqual([2], self.end(second))


class PartitionTest(unittest.TestCase):
    @params(1, 2)
    def test_a_change_after_a_partition_is_in_force_in_time(self, seed):
        """All voters are cut off for 8 s, then connections come back."""
        network = register_network.CutNetwork(
            voters=9, entries=80, ttl_s=TTL_S, seed=seed
        )
        network.run(3.0)
        network.change('voter-1', 1)
        network.cut = frozenset(network.voters)
        network.run(8.0)
        network.cut = frozenset()
        network.run(2.0)
        acknowledged_at = network.change('voter-1', 2)
        network.run(acknowledged_at + IN_FORCE_S - network.now)
        late = [each for each in network.entries if network.order(each) < 2]
        self.assertEqual([], late)


class RequesterTest(unittest.TestCase):
    def setUp(self):
        self.requester = confirmation.ConfirmationRequester(
            instance_id='entry-1', ttl_s=TTL_S
        )
        self.requester.start(100)

    def send_request(self, now):
        """Return the id and the first recipient of the request sent now."""
        sends = self.requester.tick(now, ('voter-1', 'voter-2'), None)
        (ask_id,) = {send.message.ask_id for send in sends}
        return ask_id, sends[0].to

    def test_an_answer_counts_from_its_own_request(self):
        """From a later one it would stay valid after a change in between."""
        first, voter = self.send_request(0.0)
        self.send_request(0.4)
        self.assertEqual(0.0, self.requester.on_answer(voter, first, 0.5))

    def test_the_answer_to_the_later_request_counts_as_well(self):
        first, voter = self.send_request(0.0)
        second, _ = self.send_request(0.4)
        self.requester.on_answer(voter, first, 0.5)
        self.assertEqual(0.4, self.requester.on_answer('voter-2', second, 0.9))

    def test_an_answer_counts_once(self):
        first, voter = self.send_request(0.0)
        self.requester.on_answer(voter, first, 0.1)
        self.assertIsNone(self.requester.on_answer(voter, first, 0.2))

    def test_an_answer_to_a_request_older_than_the_ttl_is_ignored(self):
        first, voter = self.send_request(0.0)
        for number in range(1, 6):
            self.send_request(0.5 * number)
        self.assertIsNone(self.requester.on_answer(voter, first, 2.6))

    def test_an_answer_from_before_a_restart_is_ignored(self):
        self.send_request(0.0)
        self.assertIsNone(self.requester.on_answer('voter-1', 7, 0.1))

    def test_a_voter_that_answers_late_gets_requests_again(self):
        first, voter = self.send_request(0.0)
        second, _ = self.send_request(0.4)
        self.requester.on_answer(voter, first, 0.5)
        self.requester.on_answer('voter-2', second, 0.9)
        self.assertEqual(voter, self.send_request(1.0)[1])


class RollingTest(unittest.TestCase):
    """The guarantee as a whole, on a network like that of a large site.

    Entries behind links that delay by up to 0.3 s and lose one message in a
    hundred restart four at a time, and two of nine voters are down. No entry
    may hold a document older than a change that was acknowledged 2.5 s ago,
    or refuse a request for good because of one.
    """

    @params(1, 2, 3, 4)
    def test_no_entry_acts_on_an_older_document(self, seed):
        self.network = make_network(seed=seed)
        self.spread_delays()
        for voter in ('voter-8', 'voter-9'):
            self.network.stop(voter)
        acknowledged = []
        for number in range(20):
            self.start_again(number)
            if number % 5 == 2:
                order = 2 + len(acknowledged)
                at = self.network.change('voter-1', order)
                acknowledged.append((order, at))
            for _ in range(5):
                self.network.run(0.1)
                self.check(acknowledged)

    def spread_delays(self):
        delays = {
            entry: self.network.random.uniform(0.0, 0.3)
            for entry in self.network.entries
        }
        self.network.delay_s = lambda sender, to, message: (
            register_network.HOP_S
            + delays.get(sender, 0.0)
            + delays.get(to, 0.0)
        )
        self.network.loses = lambda sender, to, message: (
            self.network.random.random() < 0.01
        )

    def start_again(self, number):
        for entry in self.network.entries[4 * number : 4 * number + 4]:
            self.network.start(entry)

    def check(self, acknowledged):
        now = self.network.now
        due = [order for order, at in acknowledged if at + IN_FORCE_S < now]
        for entry in self.network.entries:
            node = self.network.by_id[entry]
            if now - node.started_at < IN_FORCE_S:
                continue
            order = self.network.order(entry)
            self.assertGreaterEqual(order, max(due, default=1), entry)


class LearnedMeanwhileTest(unittest.TestCase):
    """Guards against an entry with the latest document but no confirmation.

    It sends its request while it holds an earlier version, then learns the
    change from another entry. The voter's answer has the steps from the
    earlier version. It must count although the entry no longer holds that
    base, as it names the version that is held as the latest.
    """

    def test_the_answer_confirms_the_version_held(self):
        network = make_network()
        requested_with = network.part('entry-7')._register_state.known.ballot
        network.change('voter-1', 2)
        network.run(1.0)
        held = network.part('entry-7')._register_state.known.current
        answer = configuration.VersionUpdate(
            ballot=held.ballot,
            base=requested_with,
            steps=(configuration.ConfigurationStep(document=b'x'),),
        )
        self.assertLess(requested_with, held.ballot)
        self.assertIs(held, configuration.resolve(answer, held))
