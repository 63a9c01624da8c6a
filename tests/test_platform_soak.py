"""The soak: its checks, its links, and a short run of real processes."""

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
import struct
import tempfile
import unittest

from nose2.tools import params

from tests import on_platform

from soak import checks
from soak import configurations
from soak import links
from soak import machines
from soak import record as records
from soak import run

ROOT = on_platform.ROOT
BOUNDS = checks.Bounds(retry_slack=5.0)
PORT = 8080
#: Seconds to wait for the end of a connection.
WAIT_S = 30.0


def asked(at, request_id, **changes):
    fields = {
        'service': 'plain',
        'kind': 'safe',
        'entry': 'entry-1',
        'timeout_s': 2.0,
    }
    return records.Asked(at=at, request_id=request_id, **{**fields, **changes})


def arrived(at, request_id, **changes):
    fields = {'is_free_prefill': False, 'has_run': True, 'server': 'i-1'}
    return records.Arrived(
        at=at, request_id=request_id, service='plain', **{**fields, **changes}
    )


def answered(request_id, status=200, **changes):
    fields = {'answered_for': request_id, **changes}
    return records.Answered(
        at=1.0, request_id=request_id, status=status, **fields
    )


def rules(record):
    return [each.rule for each in checks.check(record, BOUNDS)]


class BudgetTest(unittest.TestCase):
    """Guards against a soak that misses repeats beyond the budget."""

    def record(self, *, repeats, every_s, requests=10):
        record = records.Record()
        for number in range(requests):
            at = number / 10
            record.asked.append(asked(at, f'r{number}'))
            record.arrived.append(arrived(at, f'r{number}'))
        for number in range(repeats):
            record.arrived.append(
                arrived(1.0 + number * every_s, f'r{number % requests}')
            )
        return record

    @params((7, 0.1, []), (8, 0.1, ['budget']), (8, 2.0, []))
    def test_repeats_in_a_window(self, repeats, every_s, expected):
        record = self.record(repeats=repeats, every_s=every_s)
        self.assertEqual(expected, rules(record))

    def test_the_first_accepted_prefill_is_none(self):
        record = self.record(repeats=7, every_s=0.1)
        record.arrived.append(
            arrived(0.0, 'r1', is_free_prefill=True, has_run=False)
        )
        self.assertEqual([], rules(record))

    def test_a_refused_arrival_is_one(self):
        record = self.record(repeats=7, every_s=0.1)
        record.arrived.append(arrived(0.95, 'r9', has_run=False))
        self.assertEqual(['budget'], rules(record))


class ConfigurationTest(unittest.TestCase):
    """Guards against a soak that misses a configuration that came late."""

    def record(self, *, faults=(), **fields):
        probe = {
            'sent_at': 10.0,
            'answered_at': 10.1,
            'entry': 'entry-1',
            'version': 3,
            'status': 404,
            'newest_sent': 4,
        }
        return records.Record(
            acknowledged=[
                records.Acknowledged(at=7.9, version=3, took_s=0.1),
                records.Acknowledged(at=9.0, version=4, took_s=0.1),
            ],
            probed=[records.Probed(**{**probe, **fields})],
            faults=[
                records.Fault(begin=begin, end=end, what='', machines=(name,))
                for begin, end, name in faults
            ],
        )

    @params(
        ({}, ['configuration']),
        ({'status': 200}, []),
        ({'status': 503}, []),
        # Not due yet, or dropped by a version under way.
        ({'version': 4}, []),
        ({'newest_sent': 3 + configurations.ROUTE_LIFE}, []),
        # Dropped long ago.
        (
            {'version': 3 - configurations.ROUTE_LIFE, 'status': 200},
            ['configuration'],
        ),
        # Out of touch.
        ({'faults': [(5.0, 7.5, 'entry-1')]}, []),
        ({'faults': [(5.0, 7.5, 'voter-1')]}, []),
        ({'faults': [(5.0, 6.9, 'entry-1')]}, ['configuration']),
        ({'faults': [(5.0, 7.5, 'entry-2')]}, ['configuration']),
    )
    def test_a_route_of_a_version(self, fields, expected):
        self.assertEqual(expected, rules(self.record(**fields)))

    @params((3, 0.3, 1), (3, 0.2, 0), (4, 0.3, 0))
    def test_an_entry_that_goes_back(self, version, later_s, expected):
        record = self.record(status=200, faults=[(0.0, 99.0, 'voter-1')])
        (served,) = record.probed
        at = served.answered_at + later_s
        record.probed.append(
            dataclasses.replace(
                served,
                sent_at=at,
                answered_at=at + 0.1,
                version=version,
                status=404,
            )
        )
        self.assertEqual(['configuration'] * expected, rules(record))
        record.faults.append(
            records.Fault(
                begin=10.05,
                end=10.2,
                what='',
                machines=('entry-1',),
                is_restart=True,
            )
        )
        self.assertEqual([], rules(record))

    @params(
        (0, False, ['configuration']),
        (2, False, ['configuration']),
        (3, False, []),
        (3, True, ['configuration']),
    )
    def test_a_read(self, version, is_last, expected):
        record = self.record(status=200)
        record.reads.append(
            records.Read(
                sent_at=10.0, voter='voter-1', version=version, is_last=is_last
            )
        )
        self.assertEqual(expected, rules(record))


class RecoveryCheckTest(unittest.TestCase):
    """Guards against a soak that misses voters that don't recover."""

    @params(
        (12.0, (), None, []),
        (12.1, (), None, ['configuration']),
        (12.1, (), 'voter-1', []),
        (12.1, (), 'entry-1', ['configuration']),
        (12.1, (), '', []),
        (20.0, (), '', ['configuration']),
        (11.9, ('voter-1',), None, []),
        (12.1, ('voter-1',), None, ['configuration']),
        (12.1, ('change',), '', ['configuration']),
        (14.0, ('change',), 'voter-1', []),
        (14.1, ('change',), 'voter-1', ['configuration']),
    )
    def test_the_time_after_all_are_back(
        self, end, missing, disturbed, expected
    ):
        record = records.Record(
            recoveries=[records.Recovery(begin=0.0, end=end, missing=missing)]
        )
        if disturbed is not None:
            record.faults.append(
                records.Fault(
                    begin=1.0, end=2.0, what='', machines=(disturbed,)
                )
            )
        self.assertEqual(expected, rules(record))

    def test_a_fault_that_goes_on_is_waited_for(self):
        record = records.Record(
            recoveries=[
                records.Recovery(begin=0.0, end=20.0, missing=('change',))
            ],
            faults=[
                records.Fault(
                    begin=1.0,
                    end=float('inf'),
                    what='',
                    machines=('entry-1', 'voter-2'),
                )
            ],
        )
        self.assertEqual([], rules(record))


class RequestsTest(unittest.TestCase):
    @params(
        ('unsafe', 2, 200, {}, ['twice']),
        ('safe', 2, 200, {}, []),
        ('unsafe', 1, 503, {}, ['refused']),
        ('unsafe', 1, 502, {}, []),
        ('safe', 0, 404, {}, ['denied']),
        ('safe', 1, 200, {'answered_for': 'other'}, ['mixed']),
        ('streaming', 1, 200, {'pieces': (1, 2, 3)}, []),
        ('streaming', 1, 200, {'pieces': (1, 3)}, ['order']),
        ('streaming', 1, 200, {'pieces': (1, 2, 2)}, ['order']),
    )
    def test_what_a_caller_gets(self, kind, runs, status, fields, expected):
        record = records.Record(
            asked=[asked(0.0, 'r1', kind=kind)],
            arrived=[arrived(0.1 * number, 'r1') for number in range(runs)],
            answered=[answered('r1', status, **fields)],
        )
        self.assertEqual(expected, rules(record))

    @params((7, []), (8, ['late']))
    def test_calls_that_outlast_their_time(self, count, expected):
        record = records.Record()
        for number in range(count):
            record.asked.append(asked(0.0, f'r{number}', timeout_s=0.4))
            record.answered.append(answered(f'r{number}', 504))
        self.assertEqual(expected, rules(record))


class LeaveTest(unittest.TestCase):
    """Guards against a soak that misses requests to servers that left."""

    @params(
        (1.9, [], []),
        (2.1, [], ['drain']),
        (2.1, [('entry-1', False)], []),
        (2.1, [('entry-1', True)], ['drain']),
        (2.1, [('entry-2', False)], ['drain']),
        # Most voters are well: a leave must not depend on a single one.
        (2.1, [('voter-1', False)], ['drain']),
        (2.1, [('voter-1', False), ('voter-2', False)], []),
    )
    def test_a_request_after_a_leave(self, after_s, faults, expected):
        record = records.Record(
            asked=[asked(10.0 + after_s, 'r1')],
            arrived=[arrived(10.0 + after_s, 'r1')],
            left=[records.Left(at=10.0, server='i-1', voter='voter-1')],
            faults=[
                records.Fault(
                    begin=9.0,
                    end=11.0,
                    what='',
                    machines=(name,),
                    is_servers_only=is_servers_only,
                )
                for name, is_servers_only in faults
            ],
        )
        self.assertEqual(expected, rules(record))

    @params(('safe', ['drain']), ('unsafe', []))
    def test_what_links_held(self, kind, expected):
        record = records.Record(
            asked=[asked(10.0, 'r1', kind=kind)],
            arrived=[arrived(12.5, 'r1')],
            left=[records.Left(at=10.1, server='i-1', voter='voter-1')],
            held=[records.Held(server='i-1')],
        )
        self.assertEqual(expected, rules(record))


class CutOffTest(unittest.TestCase):
    """Guards against a soak that misses callers who are served far worse."""

    @params((30, []), (18, ['cut off']), (20, []))
    def test_first_tries(self, served, expected):
        """The others serve all of theirs: two thirds of 30 are 20."""
        record = self.record()
        for number in range(30):
            self.add(record, 'entry-1', f'a{number}', number < served)
            self.add(record, 'entry-2', f'b{number}', True)
        # Too early, no first tries, and probes.
        for number in range(30):
            self.add(record, 'entry-1', f'c{number}', False, at=12.9)
            self.add(record, 'entry-1', f'd{number}', False, is_retry=True)
            self.add(record, 'entry-1', f'e{number}', False, is_probe=True)
        self.assertEqual(expected, rules(record))

    def test_a_few_failures_don_t_count(self):
        record = self.record()
        for number in range(10):
            self.add(record, 'entry-1', f'a{number}', False)
            self.add(record, 'entry-2', f'b{number}', True)
        self.assertEqual([], rules(record))

    def record(self):
        fault = records.Fault(
            begin=10.0,
            end=20.0,
            what='no servers',
            machines=('entry-1',),
            is_servers_only=True,
        )
        return records.Record(faults=[fault])

    def add(self, record, entry, request_id, is_served, at=14.0, **changes):
        record.asked.append(
            asked(at, request_id, entry=entry, timeout_s=9.0, **changes)
        )
        status = 200 if is_served else 502
        record.answered.append(
            dataclasses.replace(answered(request_id, status), at=at)
        )


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults that a soak believes in and that don't happen."""

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        network = self.stack.enter_context(machines.reserved_network())
        target = f'{network}.0.1'
        echo = await asyncio.start_server(self.echo, target, PORT)
        self.stack.callback(echo.close)
        self.link = links.Link(listen=f'{network}.11.1', target=target)
        #: Another one to the same target, which no test disturbs.
        self.other = links.Link(listen=f'{network}.12.1', target=target)
        for each in (self.link, self.other):
            await each.serve(self.stack, PORT)
        self.received = []

    async def echo(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                self.received.append(data)
                writer.write(data)
        writer.close()

    async def connect(self, link=None):
        reader, writer = await asyncio.open_connection(
            (link or self.link).listen, PORT
        )
        self.stack.callback(writer.close)
        return reader, writer

    async def exchange_elsewhere(self):
        """Let bytes pass through the other link, there and back, often."""
        reader, writer = await self.connect(self.other)
        for _ in range(20):
            writer.write(b'other')
            await reader.readexactly(5)

    async def test_it_forwards_both_ways(self):
        reader, writer = await self.connect()
        writer.write(b'question')
        self.assertEqual(b'question', await reader.readexactly(8))
        writer.write_eof()
        self.assertEqual(b'', await reader.read())

    async def test_what_a_cut_holds_is_delivered_when_it_heals(self):
        reader, writer = await self.connect()
        writer.write(b'one')
        await reader.readexactly(3)
        self.link.cut()
        writer.write(b'two')
        later = await self.connect()
        later[1].write(b'six')
        await self.exchange_elsewhere()
        self.assertEqual({b'one', b'other'}, set(self.received))
        self.link.heal()
        self.assertEqual(b'two', await reader.readexactly(3))
        self.assertEqual(b'six', await later[0].readexactly(3))

    async def test_what_a_cut_holds_is_lost_if_its_sender_resets(self):
        reader, writer = await self.connect()
        writer.write(b'one')
        await reader.readexactly(3)
        self.link.cut()
        writer.write(b'two')
        await self.exchange_elsewhere()
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()
        await self.exchange_elsewhere()
        self.link.heal()
        await self.exchange_elsewhere()
        self.assertEqual({b'one', b'other'}, set(self.received))

    async def test_a_silent_connection_stays_silent_and_new_ones_work(self):
        reader, writer = await self.connect()
        writer.write(b'one')
        await reader.readexactly(3)
        self.link.silence()
        writer.write(b'two')
        later = await self.connect()
        later[1].write(b'six')
        self.assertEqual(b'six', await later[0].readexactly(3))
        await self.exchange_elsewhere()
        self.assertNotIn(b'two', self.received)

    async def test_new_connections_fail_while_it_is_out(self):
        for outage in links.Outage:
            with self.subTest(outage=outage):
                await self.link.go_out(outage)
                kind = (
                    TimeoutError
                    if outage is links.Outage.HANG
                    else ConnectionRefusedError
                )
                with self.assertRaises(kind):
                    async with asyncio.timeout(0.2):
                        await self.connect()
                await self.exchange_elsewhere()
                await self.link.come_back()
                reader, writer = await self.connect()
                writer.write(b'six')
                self.assertEqual(b'six', await reader.readexactly(3))

    async def test_open_connections_hang_or_end(self):
        for outage in (links.Outage.HANG, links.Outage.RESET):
            with self.subTest(outage=outage):
                reader, writer = await self.connect()
                writer.write(b'one')
                await reader.readexactly(3)
                await self.link.go_out(outage)
                if outage is links.Outage.HANG:
                    writer.write(b'two')
                    await self.exchange_elsewhere()
                    self.assertNotIn(b'two', self.received)
                    await self.link.come_back()
                    self.assertEqual(b'two', await reader.readexactly(3))
                    continue
                with contextlib.suppress(ConnectionResetError):
                    self.assertEqual(b'', await reader.read())
                await self.link.come_back()

    async def test_open_connections_live_on_while_new_ones_are_refused(self):
        reader, writer = await self.connect()
        await self.link.go_out(links.Outage.REFUSE)
        writer.write(b'one')
        self.assertEqual(b'one', await reader.readexactly(3))
        await self.link.come_back()

    async def test_a_target_that_is_down_refuses(self):
        """Guards against crashed servers that seem to listen on."""
        self.link.note_target_down()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        # An outage that ends meanwhile doesn't bring the target back.
        await self.link.go_out(links.Outage.REFUSE)
        await self.link.come_back()
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        await self.link.note_target_up()
        reader, writer = await self.connect()
        writer.write(b'six')
        self.assertEqual(b'six', await reader.readexactly(3))

    async def test_a_reset_ends_open_connections(self):
        reader, writer = await self.connect()
        writer.write(b'one')
        await reader.readexactly(3)
        self.link.reset()
        async with asyncio.timeout(WAIT_S):
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b'', await reader.read())


class LostServersTest(unittest.TestCase):
    """Guards against callers who fail at entries that lost the servers.

    Their connections to all backend servers hang; callers and the other
    instances reach them throughout.
    """

    def test_their_callers_are_served(self):
        plan = run.Plan(seed=2, seconds=1.0, only=('lose_servers',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))
        # Too few tries would break nothing.
        (fault,) = [f for f in report.record.faults if f.is_servers_only]
        (tries, _), _ = checks.first_tries(report.record, fault, BOUNDS)
        self.assertGreater(tries, BOUNDS.cut_off_slack)


class CrashingPartCheckTest(unittest.TestCase):
    """Guards against a soak that misses what a crashing part breaks."""

    def record(self, *, crashes=5, sends=4, sound=25, begun=25):
        record = records.Record()
        for number in range(25):
            self.ask(record, f'u{number}', 0.1 * number)
        record.faults.append(
            records.Fault(begin=5.0, end=60.0, what='', machines=())
        )
        for number in range(crashes):
            at = 6.0 + 0.1 * number
            self.ask(record, f'b{number}', at, crashing_part='bad')
            record.crashed.append(
                records.Crashed(at=at, server=f'i-{number}', part='bad')
            )
        last = 6.0 + 0.1 * (crashes - 1)
        for number in range(sends):
            request_id, at = f'l{number}', last + BOUNDS.stable_s + 0.1
            self.ask(record, request_id, at, crashing_part='bad')
            for is_prefill in (True, False):
                record.arrived.append(
                    arrived(at, request_id, is_free_prefill=is_prefill)
                )
        for number in range(sound):
            at = last + 2 * BOUNDS.stable_s + 0.1 * number
            self.ask(record, f's{number}', at, is_begun=number < begun)
        self.ask(record, 'last', 30.0, crashing_part='bad')
        return record

    def ask(self, record, request_id, at, *, is_begun=True, **changes):
        fields = {'kind': 'streaming', 'timeout_s': 9.0, 'first_part': 'f'}
        record.asked.append(asked(at, request_id, **fields, **changes))
        record.answered.append(
            answered(
                request_id,
                200 if is_begun else 503,
                pieces=(1, 2) if is_begun else (),
            )
        )

    @params(
        (5, 4, ['crashing part']),
        (5, 3, []),
        # With fewer crashes, nothing is bounded.
        (4, 4, []),
    )
    def test_sends_after_the_crashes(self, crashes, sends, expected):
        record = self.record(crashes=crashes, sends=sends)
        self.assertEqual(expected, rules(record))

    def test_prefills_and_repeats_count(self):
        record = self.record(sends=1)
        for number in (1, 2):
            record.arrived.append(
                arrived(10.0, f'p{number}', is_free_prefill=True)
            )
            self.ask(record, f'p{number}', 10.0, crashing_part='bad')
        self.assertEqual([], rules(record))
        record.arrived.append(arrived(10.5, 'l0'))
        self.assertEqual(['crashing part'], rules(record))

    def test_machines_out_of_touch_do_not_count(self):
        record = self.record()
        record.faults.append(
            records.Fault(begin=7.0, end=8.0, what='', machines=('entry-1',))
        )
        self.assertEqual([], rules(record))

    @params(
        (25, 12, ['beside a crashing part']),
        (25, 13, []),
        # Too few to be compared.
        (19, 0, []),
    )
    def test_sound_requests_beside_it(self, sound, begun, expected):
        record = self.record(sends=0, sound=sound, begun=begun)
        self.assertEqual(expected, rules(record))


class CrashingPartTest(unittest.TestCase):
    """Guards against prompts with one part that crash engine after engine."""

    def test_they_are_stopped_and_sound_ones_served(self):
        plan = run.Plan(seed=1, seconds=1.0, only=('crash_part',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))
        self.assertTrue(report.record.crashed)


class SpoiltHeadsTest(unittest.TestCase):
    """Guards against broken answers of servers that reach callers."""

    def test_no_caller_gets_one(self):
        plan = run.Plan(seed=1, seconds=1.0, only=('spoil_heads', 'flood'))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class OutOfStepTest(unittest.TestCase):
    """Guards against entries that miss a change of versions.

    They stand still, or are cut off, while engines change their versions.
    """

    def test_no_stream_has_two_versions(self):
        plan = run.Plan(
            seed=1, seconds=1.0, only=('change_versions', 'freeze', 'cut')
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class UnheardLeaveTest(unittest.TestCase):
    """Guards against leaves that are lost with the voter that took them.

    It reaches no entry when it acknowledges the leave, and is killed then.
    """

    def test_no_request_arrives_late(self):
        plan = run.Plan(seed=13, seconds=1.0, only=('unheard_leave',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))
        self.assertEqual(1, len(report.record.left))


class StreamsCheckTest(unittest.TestCase):
    """Guards against a soak that misses streams of several versions."""

    def record(self, *, versions, pieces, taken_up=1, engines=2, faults=()):
        """Return streams that begin at v1 and are taken up once each."""
        record = records.Record(
            faults=[
                records.Fault(begin=begin, end=end, what='', machines=(name,))
                for begin, end, name in faults
            ]
        )
        for number in range(engines):
            record.server_runs.append(
                records.ServerRun(
                    at=0.0,
                    host=f'10.0.0.{number}',
                    stage='decode',
                    software_version='v1',
                )
            )
        for number in range(taken_up):
            first, second = f'a{number}', f'b{number}'
            record.asked += [
                asked(10.0, first, kind='streaming'),
                asked(
                    11.0,
                    second,
                    kind='streaming',
                    is_retry=True,
                    resumes=first,
                    pieces_received=1,
                ),
            ]
            record.answered += [
                answered(
                    first,
                    pieces=(1,),
                    is_complete=False,
                    versions=frozenset(('v1',)),
                ),
                answered(
                    second,
                    200 if pieces else 503,
                    pieces=pieces,
                    versions=frozenset(versions),
                ),
            ]
        return record

    @params(
        (('v1',), []), (('v2',), ['versions']), (('v1', 'v2'), ['versions'])
    )
    def test_versions_over_all_tries(self, versions, expected):
        record = self.record(versions=versions, pieces=(2, 3))
        self.assertEqual(expected, rules(record))

    def test_events_that_are_missing_between_two_tries(self):
        record = self.record(versions=('v1',), pieces=(3,))
        self.assertEqual(['order'], rules(record))

    @params(
        (12, 2, (), ['taken up']),
        (11, 2, (), []),
        # Too few engines of its version, or out of touch.
        (12, 1, (), []),
        (12, 2, [(9.0, 10.0, 'entry-1')], []),
    )
    def test_streams_that_do_not_go_on(self, count, engines, faults, expected):
        record = self.record(
            versions=(),
            pieces=(),
            taken_up=count,
            engines=engines,
            faults=faults,
        )
        self.assertEqual(expected, rules(record))


class InvalidAnswerTest(unittest.TestCase):
    def test_an_answer_that_is_no_http(self):
        """Guards against a soak that misses broken answers."""
        record = records.Record(
            asked=[asked(1.0, 'r1')], answered=[answered('r1', 600)]
        )
        self.assertEqual([], rules(record))
        record.answered = [answered('r1', 600, is_invalid=True)]
        self.assertEqual(['invalid'], rules(record))


class RestCheckTest(unittest.TestCase):
    """Guards against a soak that misses requests to resting servers."""

    @params(
        ((2.6, 3.0), (), []),
        ((2.6, 3.0, 3.5), (), ['rest']),
        # Under way as it answered, or after its rest.
        ((2.1, 2.2, 2.4, 2.6, 5.1), (), []),
        ((2.6, 3.0, 3.5), [(3.2, 3.3, 'entry-1')], []),
        ((2.6, 3.0, 3.5), [(3.2, 3.3, 'entry-2')], ['rest']),
    )
    def test_requests_during_a_rest(self, times, faults, expected):
        record = records.Record(
            asked=[asked(at, f'r{at}') for at in (2.0, *times)],
            arrived=[
                arrived(at, f'r{at}', has_run=False) for at in (2.0, *times)
            ],
            rests=[
                records.Rest(
                    at=2.0, request_id='r2.0', server='i-1', rest_s=3.0
                )
            ],
            faults=[
                records.Fault(begin=begin, end=end, what='', machines=(name,))
                for begin, end, name in faults
            ],
        )
        self.assertEqual(expected, rules(record))


class RestingServersTest(unittest.TestCase):
    """Guards against requests to servers that have asked for rest.

    All servers of a kind ask for it, so none is left to go to instead.
    """

    def test_they_are_left_alone(self):
        plan = run.Plan(seed=1, seconds=1.0, only=('ask_for_rest',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class RateCheckTest(unittest.TestCase):
    """Guards against a soak that misses wrong refusals, or a wrong grant.

    The account may send 85 requests in 8 s; 113 may run.
    """

    @params(
        (80, 8.0, (), ['rate']),
        (81, 8.0, (), []),
        (80, 8.0, ('entry-2',), ['rate']),
        (80, 8.0, ('entry-2', 'entry-3'), []),
        (80, 16.1, (), ['rate']),
    )
    def test_a_refusal_within_the_rate(self, ran, at, disturbed, expected):
        self.assertEqual(expected, rules(self.make_record(ran, at, disturbed)))

    def make_record(self, ran, refused_at, disturbed=()):
        times = {f'r{each}': 8.0 * (each + 0.5) / ran for each in range(ran)}
        return records.Record(
            asked=[
                asked(at, each, account='studio-1')
                for each, at in {**times, 'refused': refused_at}.items()
            ],
            arrived=[arrived(at, each) for each, at in times.items()],
            answered=[answered('refused', 429)],
            faults=[
                records.Fault(begin=1.0, end=9.0, what='', machines=(name,))
                for name in disturbed
            ],
        )

    @params((113, []), (114, ['rate']))
    def test_more_than_the_rate(self, ran, expected):
        record = self.make_record(ran, 8.0)
        self.assertEqual(expected, rules(record))


class ExceededRateTest(unittest.TestCase):
    """Guards against refusals of an account that has not used its rate up."""

    def test_it_gets_its_rate_and_no_more(self):
        plan = run.Plan(seed=1, seconds=1.0, only=('exceed_rate',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class LeavingAnswerCheckTest(unittest.TestCase):
    """Guards against a soak that misses requests to servers that leave."""

    @params(
        (4.0, 'entry-1', (), []),
        (4.1, 'entry-1', (), ['leaving']),
        (4.1, 'entry-2', (), []),
        (4.1, 'entry-1', [(3.0, 3.1, 'entry-1')], []),
        (4.1, 'entry-1', [(3.0, 3.1, 'voter-1')], ['leaving']),
    )
    def test_requests_after_an_answer(self, at, entry, faults, expected):
        record = records.Record(
            asked=[asked(1.9, 'r1'), asked(at, 'r2', entry=entry)],
            arrived=[arrived(1.9, 'r1'), arrived(at, 'r2')],
            answered=[answered('r1', leaving_server='i-1', head_at=2.0)],
            faults=[
                records.Fault(begin=begin, end=end, what='', machines=(name,))
                for begin, end, name in faults
            ],
        )
        self.assertEqual(expected, rules(record))


class LeavingAnswersTest(unittest.TestCase):
    """Guards against requests to servers whose answers say that they leave.

    They announce nothing, and their leases outlast the bound.
    """

    def test_they_get_no_more(self):
        plan = run.Plan(seed=1, seconds=1.0, only=('leave_by_answers',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class MixedVersionsTest(unittest.TestCase):
    """Guards against streams with events of two software versions.

    Engines are back as another version at their addresses; callers come back
    to other entries.
    """

    def test_each_stream_has_one_version(self):
        plan = run.Plan(seed=1, seconds=1.0, only=('change_versions',))
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class UnnamedTakeUpTest(unittest.TestCase):
    """Guards against streams that go on at whatever version serves now.

    All engines of a version leave at once, entries are killed, and callers
    come back that don't name the request that began their stream.
    """

    def test_each_stream_has_one_version(self):
        plan = run.Plan(
            seed=4, seconds=1.0, rate_per_s=70.0, only=('release',)
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class LostMemoryTest(unittest.TestCase):
    """Guards against voters that aren't replaced after all memory was lost.

    Instances that have just started have never seen the voter that is gone.
    """

    def test_successors_count_before_the_next_loss(self):
        plan = run.Plan(
            seed=1,
            seconds=1.0,
            voters=5,
            spares=3,
            entries=2,
            only=('replace_voters_without_memory',),
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))


class ShortRunTest(unittest.TestCase):
    """Guards against promises that only real processes break."""

    def test_a_seeded_run_keeps_all_promises(self):
        plan = run.Plan(seed=3, seconds=20.0)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run.run(plan, pathlib.Path(folder)))
        self.assertEqual([], report.broken, '\n'.join(report.lines()))
        self.assertGreater(len(report.record.acknowledged), 5)
        self.assertTrue(any(each.is_last for each in report.record.reads))
        self.assertEqual((), report.record.recoveries[-1].missing)
