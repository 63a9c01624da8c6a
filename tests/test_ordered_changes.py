"""Changes numbered by operators, and voters discovered at run time."""

import unittest

from nose2.tools import params

from dandeliongw.coordination import register
from tests import test_register


def propose(cluster, name, order, document):
    """Propose a numbered document at an instance; return the ticket."""
    cluster.entropy += 1
    ticket = f'order-{order}-{cluster.entropy}'
    event = register.ProposeOrdered(
        now=cluster.now,
        ticket=ticket,
        order=order,
        author='ana',
        document=document,
        entropy=cluster.entropy,
    )
    cluster.handle(name, event)
    return ticket


def change(cluster, name, order, document):
    return cluster.wait(name, propose(cluster, name, order, document))


class OrderedChangeTest(unittest.TestCase):
    def setUp(self):
        self.cluster = test_register.formed()

    def documents(self):
        self.cluster.run(6)
        return {
            self.cluster.part(name).document for name in self.cluster.by_id
        }

    def test_the_highest_number_wins_in_any_order(self):
        """Guards against an older configuration that comes back into force.

        Two operators send changes, and the one with the higher number arrives
        first; the last one to arrive must not win.
        """
        first = change(self.cluster, 'gw-1', 9, b'nine')
        second = change(self.cluster, 'gw-2', 7, b'seven')
        self.assertEqual(first, register.Applied(revision=1, repeated=False))
        self.assertEqual(second, register.Overtaken(order=9))
        self.assertEqual(self.documents(), {b'nine'})

    def test_another_text_under_the_same_number_changes_nothing(self):
        """Guards against reading back another text than was acknowledged."""
        change(self.cluster, 'gw-1', 4, b'four')
        result = change(self.cluster, 'gw-3', 4, b'other')
        self.assertEqual(result, register.Overtaken(order=4))
        self.assertEqual(self.documents(), {b'four'})

    def test_a_resend_after_a_later_change_reverts_nothing(self):
        """Guards against undoing a change seconds after it was in force.

        The answer to a change is lost, another change follows, and the first
        is resent to another instance; it must not count as a new change.
        """
        change(self.cluster, 'gw-1', 4, b'four')
        change(self.cluster, 'gw-2', 5, b'five')
        result = change(self.cluster, 'gw-4', 4, b'four')
        self.assertEqual(result, register.Overtaken(order=5))
        self.assertEqual(self.documents(), {b'five'})

    def test_of_concurrent_changes_the_highest_number_wins(self):
        tickets = [
            ('gw-1', propose(self.cluster, 'gw-1', 6, b'six')),
            ('gw-2', propose(self.cluster, 'gw-2', 8, b'eight')),
            ('gw-3', propose(self.cluster, 'gw-3', 7, b'seven')),
        ]
        for name, ticket in tickets:
            self.assertIsInstance(
                self.cluster.wait(name, ticket),
                (register.Applied, register.Overtaken),
            )
        self.assertEqual(self.documents(), {b'eight'})

    def test_the_number_outlives_a_restart_of_all_voters(self):
        """Guards against an old change that is applied after a power loss."""
        change(self.cluster, 'gw-1', 5, b'five')
        for name in test_register.VOTERS:
            self.cluster.by_id[name].start()
            self.cluster.introduce(name)
        self.cluster.run(2)
        result = change(self.cluster, 'gw-2', 5, b'other')
        self.assertEqual(result, register.Overtaken(order=5))
        self.assertEqual(self.documents(), {b'five'})


class ContactsTest(unittest.TestCase):
    """Instances that start without the ids of any voters."""

    def setUp(self):
        self.cluster = test_register.Cluster(others=('gw-4',))
        for name, instance in self.cluster.by_id.items():
            instance.options['initial_voters'] = ()
            instance.start()
            self.cluster.introduce(name)

    def find(self, *names, may_form):
        for name in self.cluster.by_id:
            event = register.ContactsFound(
                now=self.cluster.now, instance_ids=names, may_form=may_form
            )
            self.cluster.handle(name, event)

    def revisions(self):
        self.cluster.run(3)
        return {
            self.cluster.part(name).revision for name in self.cluster.by_id
        }

    def test_nothing_forms_before_voters_are_found(self):
        self.assertEqual(self.revisions(), {None})

    def test_the_first_voters_that_are_found_form_the_register(self):
        self.find(*test_register.VOTERS, may_form=True)
        self.assertEqual(self.revisions(), {0})

    @params(1, 2, 3)
    def test_instances_that_only_join_form_nothing(self, count):
        """Guards against the loss of an acknowledged configuration.

        Voters lose their disks, restart and find each other through seeds;
        their empty disks must not be taken for those of a new system.
        """
        self.find(*test_register.VOTERS[:count], may_form=False)
        self.assertEqual(self.revisions(), {None})
