"""Every command on our pages is run against one local system.

A fence that opens with ``console run`` is run. Answers are compared in
shape: JSON by its keys and types, other lines as they are, with ``...`` for
whatever varies.
"""

import contextlib
import dataclasses
import io
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import typing
import unittest

from nose2.tools import params

from tools import capacity_page
from tools import demo
from tools import local

ROOT = pathlib.Path(__file__).parent.parent
PAGES = (
    'README.md',
    'docs/CALLERS.md',
    'docs/INTERFACES.md',
    'docs/BACKENDS.md',
    'docs/OPERATIONS.md',
)
OUR_PAGES = (
    *PAGES,
    'CHANGELOG.md',
    'docs/ARCHITECTURE.md',
    'docs/CAPACITY.md',
    'docs/DECISIONS.md',
    'docs/GLOSSARY.md',
    'docs/HOUSE-STYLE.md',
    'docs/TWO-YEARS.md',
)
#: Commands that are shown but not run here, and what runs them.
RUN_ELSEWHERE = {
    'scripts/demo': 'setUpModule does what it does',
    'scripts/demo --command dist/dandeliongw': 'test_build runs that file',
    'scripts/build': 'test_build',
    'scripts/test': 'it runs this',
    'scripts/capacity > docs/capacity.jsonl': 'test_capacity',
    'scripts/capacity --page-from docs/capacity.jsonl': 'test_capacity',
    'dandeliongw serve /etc/dandeliongw/settings.json': 'every local system',
}
_FENCE = re.compile(r'^```console( run)?\n(.*?)^```', re.DOTALL | re.MULTILINE)
_LINK = re.compile(r'\]\(([^)#:]+)(?:#[^)]*)?\)')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One command of a page and the answer that the page shows."""

    command: str
    shown: str


def steps_of(text: str, *, run: bool) -> list[Step]:
    """Return the commands of all fences that are, or aren't, to be run."""
    steps = []
    for fence in _FENCE.finditer(text):
        if bool(fence[1]) == run:
            steps += [
                _step(part) for part in re.split(r'^\$ ', fence[2], flags=re.M)
            ]
    return [step for step in steps if step.command]


def _step(part: str) -> Step:
    command, end = [], 0
    lines = part.splitlines()
    for end, line in enumerate(lines, 1):
        command.append(line)
        in_quotes = '\n'.join(command).count("'") % 2
        if not line.endswith('\\') and not in_quotes:
            break
    return Step(
        command='\n'.join(command), shown='\n'.join(lines[end:]).strip()
    )


def problem_with(shown: str, given: str) -> str:
    """Return how an answer differs in shape; empty when it does not."""
    if not shown:
        return ''
    with contextlib.suppress(ValueError):
        return _differs(json.loads(shown), json.loads(given), '')
    shown_lines = [line for line in shown.splitlines() if line.strip()]
    given_lines = [line for line in given.splitlines() if line.strip()]
    if '...' not in shown_lines and len(shown_lines) != len(given_lines):
        return f'{len(given_lines)} lines, the page has {len(shown_lines)}'
    for line in shown_lines:
        if line != '...' and not any(_alike(line, g) for g in given_lines):
            return f'no line like {line!r}'
    return ''


def _alike(shown: str, given: str) -> bool:
    prefix = 'data: {'
    if shown.startswith(prefix) and given.startswith(prefix):
        pair = [
            json.loads(each.removeprefix('data: ')) for each in (shown, given)
        ]
        return not _differs(*pair, '')
    pattern = '.*'.join(re.escape(part) for part in shown.split('...'))
    return re.fullmatch(pattern, given.rstrip()) is not None


def _differs(shown: typing.Any, given: typing.Any, path: str) -> str:
    if shown is None or given is None:
        return ''
    if isinstance(shown, dict) and isinstance(given, dict):
        if shown.keys() != given.keys():
            return f'{path}: keys {sorted(given)}, shown {sorted(shown)}'
        return next(
            filter(
                None,
                (
                    _differs(shown[key], given[key], f'{path}.{key}')
                    for key in shown
                ),
            ),
            '',
        )
    if isinstance(shown, list) and isinstance(given, list):
        if bool(shown) != bool(given):
            return f'{path}: {len(given)} items, shown {len(shown)}'
        return _differs(shown[0], given[0], f'{path}[0]') if shown else ''
    numbers = (int, float)
    if isinstance(shown, numbers) and isinstance(given, numbers):
        return ''
    if type(shown) is not type(given):
        return f'{path}: {given!r}, shown {shown!r}'
    return ''


class Local:
    """The one system of this module and where its commands run."""

    system: local.LocalSystem
    folder: pathlib.Path
    demo_is_good = False
    cleanup = contextlib.ExitStack()


def setUpModule() -> None:
    folder = tempfile.TemporaryDirectory(prefix='dandeliongw-docs-')
    Local.folder = pathlib.Path(Local.cleanup.enter_context(folder))
    Local.system = Local.cleanup.enter_context(
        local.run_system(
            folder=Local.folder,
            timeouts={'entries_ttl_s': 0.2},
        )
    )
    with contextlib.redirect_stdout(io.StringIO()):
        Local.demo_is_good = demo.run_demo(Local.system)
    for name in ('examples', 'docs', 'scripts'):
        (Local.folder / name).symlink_to(ROOT / name)
    (Local.folder / 'token').write_text(local.OPERATOR_TOKEN)
    program = Local.folder / 'bin' / 'dandeliongw'
    program.parent.mkdir()
    program.write_text(
        f'#!/bin/sh\nPYTHONPATH={ROOT} exec {sys.executable} '
        '-m dandeliongw "$@"\n'
    )
    program.chmod(0o755)


def tearDownModule() -> None:
    Local.cleanup.close()


def addresses() -> dict[str, str]:
    """Return what stands on the pages and what stands for it here."""
    found = {}
    for number, each in enumerate(Local.system.instances_by_id.values(), 1):
        found[f'10.10.{number}.1:7000'] = f'{local.HOST}:{each.callers_port}'
        found[f'10.10.{number}.1:7001'] = f'{local.HOST}:{each.control_port}'
    for place, name in (('1', 'prefill-1'), ('2', 'decode-1')):
        url = Local.system.stand_ins_by_id[name].url
        found[f'10.10.9.{place}:9000'] = url.removeprefix('http://')
    return found


def run(command: str) -> subprocess.CompletedProcess:
    """Run a command of a page against the local system."""
    for shown, real in addresses().items():
        command = command.replace(shown, real)
    return subprocess.run(
        ['bash', '-c', command],
        cwd=Local.folder,
        env={
            'PATH': f'{Local.folder}/bin:{os.environ["PATH"]}',
            'KEY': local.ACCOUNT_KEY,
            'TOKEN': local.OPERATOR_TOKEN,
        },
        capture_output=True,
        text=True,
    )


class PagesTest(unittest.TestCase):
    def test_the_demo_answers_everything_once(self) -> None:
        self.assertTrue(Local.demo_is_good)

    @params(*PAGES)
    def test_commands_give_what_the_page_shows(self, page: str) -> None:
        steps = steps_of((ROOT / page).read_text(), run=True)
        self.assertTrue(steps)
        for step in steps:
            done = run(step.command)
            told = f'{page}: {step.command}\n{done.stdout}{done.stderr}'
            self.assertEqual(0, done.returncode, told)
            self.assertEqual('', problem_with(step.shown, done.stdout), told)

    @params(*OUR_PAGES)
    def test_a_command_that_is_not_run_here_is_run_elsewhere(
        self, page: str
    ) -> None:
        steps = steps_of((ROOT / page).read_text(), run=False)
        unknown = {step.command for step in steps} - RUN_ELSEWHERE.keys()
        self.assertEqual(set(), unknown)

    @params(*OUR_PAGES)
    def test_links_lead_somewhere(self, page: str) -> None:
        file = ROOT / page
        for link in _LINK.findall(file.read_text()):
            self.assertTrue((file.parent / link).exists(), link)

    def test_the_map_of_modules_names_files_that_exist(self) -> None:
        text = (ROOT / 'docs/ARCHITECTURE.md').read_text()
        table = text[text.index('## Modules') :]
        for name in re.findall(r'`([a-z_/]+\.py)`', table):
            self.assertTrue((ROOT / 'dandeliongw' / name).exists(), name)

    def test_the_tables_of_the_capacity_page_are_those_of_its_run(
        self,
    ) -> None:
        page = (ROOT / capacity_page.PAGE).read_text()
        lines = capacity_page.read(ROOT / 'docs/capacity.jsonl')
        self.assertEqual(capacity_page.fill(page, lines), page)


class ComparisonTest(unittest.TestCase):
    """The comparison itself: it must not pass whatever comes."""

    @params(
        ('{"a": 1}', '{"b": 1}'),
        ('{"a": [1]}', '{"a": []}'),
        ('{"a": "x"}', '{"a": 1}'),
        ('data: {"a": 1}', 'data: {"b": 1}'),
        ('HTTP/1.1 200 OK', 'HTTP/1.1 404 Not Found'),
        ('one\n...', 'two\nthree'),
    )
    def test_a_difference_is_told(self, shown: str, given: str) -> None:
        self.assertNotEqual('', problem_with(shown, given))

    @params(
        ('{"a": 1.5, "b": null}', '{"a": 2, "b": "x"}'),
        ('Date: ...', 'Date: today'),
        ('one\n...', 'one\ntwo'),
    )
    def test_values_may_vary(self, shown: str, given: str) -> None:
        self.assertEqual('', problem_with(shown, given))
