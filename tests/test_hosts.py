"""Routes by host and path: matching and validation."""

import json
import unittest

from nose2.tools import params

from dandeliongw import document
from dandeliongw import exceptions
from dandeliongw import hosts


def make_route(name='r', prefix='/', host='a.example', **changes):
    fields = {
        'name': name,
        'host': host,
        'path_prefix': prefix,
        'targets': [{'service': 'portal'}],
        'repeat': 'never',
        'max_runs': 1,
        'timeout_s': 3.0,
        'target_s': 0.4,
        'priority': 'usual',
    }
    return {**fields, **changes}


def make_document(*routes):
    """Return a document with one plain service and these routes."""
    return {
        'version': 1,
        'services': [{'name': 'portal', 'kind': 'plain', 'timeout_s': 3.0}],
        'pools': [
            {
                'name': 'portal',
                'service': 'portal',
                'role': 'plain',
                'slots': 2,
            }
        ],
        'priorities': [{'name': 'usual', 'rank': 0, 'max_wait_s': 2.0}],
        'host_routes': list(routes),
    }


def parse(*routes):
    return document.parse_document(json.dumps(make_document(*routes)).encode())


class RouteTableTest(unittest.TestCase):
    @params(
        ('a.example', '/x/y/z', 'long'),
        ('a.example', '/x/yy', 'short'),
        ('a.example', '/x', None),
        ('a.example', '/q/x/y/', None),
        ('b.example', '/x/y/z', None),
    )
    def test_the_longest_prefix_of_the_host_is_used(self, host, path, name):
        found = parse(
            make_route('short', '/x/'), make_route('long', '/x/y/')
        ).route_table.find(host, path)
        self.assertEqual(name, found and found.name)

    def test_services_are_chosen_by_weight(self):
        targets = (
            hosts.Target(service='first', weight=3),
            hosts.Target(service='none', weight=0),
            hosts.Target(service='second', weight=1),
        )
        route = hosts.HostRoute(**make_route(targets=targets))
        chosen = [route.choose(draw) for draw in range(8)]
        self.assertEqual(
            chosen, (['first'] * 3 + ['second']) * 2, 'by the weights'
        )


class ProblemsTest(unittest.TestCase):
    @params(
        ({'targets': [{'service': 'nowhere'}]}, 'targets[0].service'),
        ({'targets': [{'service': 'portal', 'weight': 0}]}, 'targets'),
        ({'targets': []}, 'targets'),
        ({'timeout_s': 0}, 'timeout_s'),
        ({'priority': 'none'}, 'priority'),
        ({'path_prefix': '/no-slash'}, 'path_prefix'),
        ({'path_prefix': 'no/slash/'}, 'path_prefix'),
        ({'host': 'UPPER.example'}, 'host'),
    )
    def test_a_bad_route_is_refused_with_its_field(self, changes, field):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            parse(make_route(**changes))
        paths = [each.path for each in caught.exception.problems]
        self.assertEqual(paths, [f'host_routes[0].{field}'])

    def test_two_routes_with_the_same_host_and_prefix_are_refused(self):
        with self.assertRaises(exceptions.InvalidInput) as caught:
            parse(make_route('one', '/x/'), make_route('two', '/x/'))
        (problem,) = caught.exception.problems
        self.assertEqual(problem.path, 'host_routes[1].path_prefix')
