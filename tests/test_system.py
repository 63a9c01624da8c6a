"""Failures of whole instances: real processes on loopback addresses."""

from concurrent import futures
import itertools
import json
import pathlib
import shutil
import signal
import tempfile
import time
import unittest

from tools import local

BOOKINGS = '/services/studio-portal/bookings'
LOOKUP = '/services/studio-portal/lookup'
TIMEOUTS = {'entries_ttl_s': 0.5, 'confirm_ttl_s': 2.0}


class Serving(unittest.TestCase):
    """Base class: three instances that serve the example document."""

    def setUp(self):
        folder = tempfile.mkdtemp(prefix='dandeliongw-')
        self.addCleanup(shutil.rmtree, folder)
        running = local.run_system(
            folder=pathlib.Path(folder), timeouts=TIMEOUTS
        )
        self.system = self.enterContext(running)
        self.revision = self.system.apply('gw-1', self.document(), 'first')
        self.system.wait_serving(self.revision)

    def document(self):
        return local.example_document()


class SystemTest(Serving):
    """Uses a new system for each test, since each test damages it."""

    def setUp(self):
        super().setUp()
        self.system.start_stand_in(
            'standin_service',
            'portal-1',
            *('--service', 'studio-portal', '--data-centre', 'dc-a'),
        )
        for instance_id in self.system.instances_by_id:
            self.wait_lookup(instance_id)

    def wait_lookup(self, instance_id):
        local.wait_until(
            f'a lookup through {instance_id} is answered',
            lambda: (
                self.system.call_as_account(instance_id, 'GET', LOOKUP)[0]
                == 200
            ),
        )

    def book(self, instance_id, key):
        return self.system.call_as_account(
            instance_id,
            'POST',
            BOOKINGS,
            {'horse': key},
            {'Idempotency-Key': key},
        )

    def runs(self):
        stand_in = self.system.stand_ins_by_id['portal-1']
        _, answer = self.system.call('GET', f'{stand_in.url}/runs')
        return answer['by_body']

    def status(self, instance_id):
        return self.system.call_as_operator(instance_id, 'GET', '/v1/status')[
            1
        ]

    def owner(self):
        for instance_id, instance in self.system.instances_by_id.items():
            if instance.process.poll() is None:
                leases = self.status(instance_id).get('leases', [])
                if any('studio-portal' in each['name'] for each in leases):
                    return instance_id
        return None

    def others(self, instance_id):
        return [
            each for each in self.system.instances_by_id if each != instance_id
        ]

    def test_a_dead_owner_is_replaced(self):
        """Guards against a service that answers no calls any more."""
        owner = local.wait_until('the cell has an owner', self.owner)
        instance = self.system.instances_by_id[owner]
        self.system.kill(instance.process)
        for instance_id in self.others(owner):
            self.wait_lookup(instance_id)
        self.assertNotEqual(owner, self.owner())

    def test_a_paused_owner_gives_up_its_cell_when_it_resumes(self):
        """Guards against two instances that both own the same cell."""
        owner = local.wait_until('the cell has an owner', self.owner)
        process = self.system.instances_by_id[owner].process
        process.send_signal(signal.SIGSTOP)
        other = self.others(owner)[0]
        self.wait_lookup(other)
        process.send_signal(signal.SIGCONT)
        self.wait_lookup(owner)
        epochs = [
            lease['epoch']
            for instance_id in self.system.instances_by_id
            for lease in self.status(instance_id)['leases']
            if 'studio-portal' in lease['name']
        ]
        self.assertEqual(1, len(epochs), epochs)

    def test_an_instance_cut_off_from_the_voters_admits_nothing(self):
        """Guards against an accepted change not in force at one instance."""
        frozen = [
            self.system.instances_by_id[each].process
            for each in ('gw-2', 'gw-3')
        ]
        for process in frozen:
            process.send_signal(signal.SIGSTOP)

        def is_refused():
            status, answer = self.system.call_as_account('gw-1', 'GET', LOOKUP)
            error = answer.get('error', {}) if status == 503 else {}
            return error.get('reason') == 'configuration_stale' and error

        error = local.wait_until('gw-1 refuses', is_refused)
        self.assertEqual('not_run', error['verdict'])
        self.assertIsNotNone(error['retry_after_s'])
        for process in frozen:
            process.send_signal(signal.SIGCONT)
        self.wait_lookup('gw-1')

    def test_a_second_loss_right_after_a_repair_loses_nothing(self):
        """Guards against a booking that runs twice or a reverted document."""
        first = self.book('gw-1', 'once')
        self.assertEqual(200, first[0], first)
        lost = self.system.instances_by_id['gw-3']
        old_disk = self.status('gw-1')['disks']['gw-3']
        self.system.kill(lost.process)
        shutil.rmtree(self.system.folder / 'gw-3')
        self.system.start_instance('gw-3')

        def is_repaired():
            answer = self.status('gw-1')
            disks = answer.get('disks', {})
            return not answer.get('joining', True) and (
                disks.get('gw-3') not in (old_disk, None)
            )

        local.wait_until('the new disk votes', is_repaired)
        self.system.kill(self.system.instances_by_id['gw-2'].process)
        for instance_id in ('gw-1', 'gw-3'):
            self.wait_lookup(instance_id)
        self.assertEqual(first, self.book('gw-3', 'once'))
        self.assertEqual(1, self.runs()['{"horse": "once"}'])
        _, document = self.system.call_as_operator(
            'gw-3', 'GET', '/v1/document'
        )
        self.assertEqual(self.revision, document['revision'])


class EngineMemoryTest(Serving):
    """Engine memory is freed for callers who have disconnected."""

    def setUp(self):
        super().setUp()
        common = ('--service', 'dieline-llm', '--data-centre', 'dc-a')
        for role in ('prefill', 'decode'):
            self.system.start_stand_in(
                'standin_engine', role, '--role', role, *common
            )
        self.system.wait_backends(2)

    def open_stream(self, instance_id):
        """Return an answer whose first bytes have arrived."""
        body = {
            'model': 'dieline-llm',
            'prompt': 'fold and glue ' * 50,
            'max_tokens': 20_000,
            'stream': True,
        }

        def start():
            answer = self.system.http.request(
                'POST',
                self.system.instances_by_id[instance_id].callers_url
                + '/v1/completions',
                body=json.dumps(body).encode(),
                headers={'Authorization': f'Bearer {local.ACCOUNT_KEY}'},
                preload_content=False,
            )
            if answer.status == 200:
                answer.read1(1)
                return answer
            answer.close()
            return None

        return local.wait_until('a stream has begun', start)

    def held(self):
        streams = []
        for stand_in in self.system.stand_ins_by_id.values():
            _, answer = self.system.call('GET', f'{stand_in.url}/v1/streams')
            streams += answer['streams']
        return streams

    def owner(self):
        for instance_id in self.system.instances_by_id:
            _, answer = self.system.call_as_operator(
                instance_id, 'GET', '/v1/status'
            )
            leases = answer.get('leases', [])
            if any('dieline-llm' in each['name'] for each in leases):
                return instance_id
        return None

    def test_a_caller_who_leaves_frees_the_engines(self):
        """Guards against slots held by answers that nobody reads."""
        answer = self.open_stream('gw-1')
        self.assertNotEqual([], self.held())
        answer.close()
        local.wait_until('the engines hold nothing', lambda: not self.held())

    def test_engines_are_freed_when_owner_and_entry_are_lost(self):
        """Guards against engine slots held for minutes."""
        self.open_stream('gw-1').close()
        owner = local.wait_until('the cell has an owner', self.owner)
        answer = self.open_stream(owner)
        self.addCleanup(answer.close)
        self.system.kill(self.system.instances_by_id[owner].process)
        local.wait_until('the engines hold nothing', lambda: not self.held())


class EndingCall(Serving):
    """Base class: one call ends each backend server that begins to run it."""

    #: After three ends the call is quarantined. Each of the three entries may
    #: have sent it once more before it was notified of the third end.
    MAX_ENDS = 6
    SENDS = 12

    def setUp(self):
        super().setUp()
        self.ends = 0
        ports = local.free_ports(len(self.backends()))
        for backend_id, port in zip(self.backends(), ports):
            self.start(backend_id, str(port))
        self.wait_for_others()

    def backends(self) -> tuple[str, ...]:
        raise NotImplementedError

    def start(self, backend_id, port):
        raise NotImplementedError

    def send(self, instance_id, what):
        raise NotImplementedError

    def restart_ended(self):
        for backend_id, stand_in in list(self.system.stand_ins_by_id.items()):
            if stand_in.process.poll() is None:
                continue
            self.ends += 1
            stand_in.process.stdout.close()
            self.start(backend_id, stand_in.url.rpartition(':')[2])

    def wait_for_others(self):
        for instance_id in self.system.instances_by_id:
            local.wait_until(
                f'another call through {instance_id} is answered',
                lambda each=instance_id: self.send(each, 'other')[0] == 200,
            )

    def check(self):
        entries = itertools.cycle(self.system.instances_by_id)
        for instance_id in itertools.islice(entries, self.SENDS):
            status, answer = self.send(instance_id, 'ending')
            self.restart_ended()
            self.wait_for_others()
        self.assertGreaterEqual(self.ends, 3)
        self.assertLessEqual(self.ends, self.MAX_ENDS)
        error = answer['error']
        self.assertEqual((422, 'quarantined'), (status, error['reason']))
        # This send did not run, and an early retry would not help.
        self.assertEqual('not_run', error['verdict'])
        self.assertGreater(error['retry_after_s'], 60.0)


class EndingPlainCallTest(EndingCall):
    """A call to a plain service that ends the service's backend servers."""

    def backends(self):
        return 'portal-1', 'portal-2', 'portal-3', 'portal-4'

    def start(self, backend_id, port):
        self.system.start_stand_in(
            'standin_service',
            backend_id,
            *('--service', 'studio-portal', '--data-centre', 'dc-a'),
            *('--faults', json.dumps({'end_on': 'ending'})),
            *('--port', port),
        )

    def send(self, instance_id, what):
        return self.system.call_as_account(
            instance_id, 'GET', f'{LOOKUP}?for={what}'
        )

    def test_the_entries_quarantine_it_together(self):
        self.check()

    def test_simultaneous_copies_end_the_servers_only_once(self):
        """Guards against copies that end the servers again at each restart."""
        entries = list(self.system.instances_by_id) * 2
        with futures.ThreadPoolExecutor(len(entries)) as pool:
            for _ in range(2):
                list(pool.map(self.send, entries, ['ending'] * len(entries)))
                self.restart_ended()
                self.wait_for_others()
        self.assertGreaterEqual(self.ends, 3)
        self.assertLessEqual(self.ends, len(self.backends()))


class EndingStreamTest(EndingCall):
    """A stream that ends the decode engines which begin to run it."""

    def backends(self):
        return 'prefill-1', 'decode-1', 'decode-2', 'decode-3', 'decode-4'

    def start(self, backend_id, port):
        self.system.start_stand_in(
            'standin_engine',
            backend_id,
            *('--service', 'dieline-llm', '--data-centre', 'dc-a'),
            *('--role', backend_id.partition('-')[0]),
            *('--faults', json.dumps({'end_on': 'ending'})),
            *('--port', port),
        )

    def send(self, instance_id, what):
        body = {'model': 'dieline-llm', 'prompt': what, 'max_tokens': 3}
        return self.system.call_as_account(
            instance_id, 'POST', '/v1/completions', body
        )

    def test_the_entries_quarantine_it_together(self):
        self.check()


class RateLimitedServerTest(Serving):
    """Guards against a rate limit that is lost between answer and owner."""

    BACKEND_IDS = ('portal-1', 'portal-2')

    def document(self):
        """Return a document in which accounts have no rate of their own."""
        described = super().document()
        for account in described['accounts']:
            account.pop('requests_per_s', None)
        return described

    def test_the_entries_keep_it_together_and_notice_its_end(self):
        for backend_id in self.BACKEND_IDS:
            self.system.start_stand_in(
                'standin_service',
                backend_id,
                *('--service', 'studio-portal', '--data-centre', 'dc-a'),
                *('--faults', json.dumps({'delay_s': 0.02})),
            )
        pool = self.enterContext(futures.ThreadPoolExecutor(6))
        local.wait_until(
            'both servers get calls',
            lambda: self.send(pool) and all(map(self.runs, self.BACKEND_IDS)),
        )
        self.limit(0.5)
        local.wait_until('the limit is told', lambda: self.is_told(pool))
        began, before = time.monotonic(), self.runs('portal-1')
        answered = [self.send(pool) for _ in range(60)]
        took_s = time.monotonic() - began
        self.assertTrue(all(answered))
        most = 1.5 * 0.5 * took_s + 5
        self.assertLessEqual(self.runs('portal-1') - before, most)
        self.limit(0.0)
        before = self.runs('portal-1')
        local.wait_until(
            'portal-1 gets its part again',
            lambda: self.send(pool) and self.runs('portal-1') >= before + 10,
        )

    def send(self, pool):
        """Send two calls through each entry; return whether all succeed."""
        statuses = pool.map(
            lambda instance_id: self.system.call_as_account(
                instance_id, 'GET', LOOKUP
            )[0],
            2 * list(self.system.instances_by_id),
        )
        return all(status == 200 for status in statuses)

    def runs(self, backend_id):
        stand_in = self.system.stand_ins_by_id[backend_id]
        _, answer = self.system.call('GET', f'{stand_in.url}/runs')
        return sum(answer['by_request'].values())

    def limit(self, per_s):
        stand_in = self.system.stand_ins_by_id['portal-1']
        status, _ = self.system.call(
            'POST', f'{stand_in.url}/faults', {'requests_per_s': per_s}
        )
        self.assertEqual(status, 200)

    def is_told(self, pool):
        self.send(pool)
        return any(
            'backend server limits its rate' in instance.log_file.read_text()
            for instance in self.system.instances_by_id.values()
        )
