"""The coordination subpackage can be embedded alone; its example runs."""

import ast
import contextlib
import io
import pathlib
import runpy
import unittest

from nose2.tools import params

PACKAGE = pathlib.Path('dandeliongw/coordination')
MODULES = sorted(path.name for path in PACKAGE.glob('*.py'))
#: Modules that the parts may import besides each other: none that does I/O,
#: reads a clock or draws random numbers.
ALLOWED = {
    'bisect',
    'collections',
    'dataclasses',
    'enum',
    'functools',
    'hashlib',
    'heapq',
    'itertools',
    'math',
    'msgspec',
    'operator',
    'types',
    'typing',
    'xxhash',
    'zlib',
}
FORBIDDEN_CALLS = {'open', 'print', 'input', 'exec', 'eval', '__import__'}


def find_faults(source: str) -> list[str]:
    """Return the forbidden imports and calls of a coordination module.

    Of ``random``, only the generator seeded with entropy from the events is
    allowed: the same events then always give the same effects.
    """
    faults = []
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Import(names=names):
                roots = {name.name.partition('.')[0] for name in names}
                faults += sorted(roots - ALLOWED - {'random'})
            case ast.ImportFrom(level=0, module=module):
                root = (module or '').partition('.')[0]
                faults += [root] if root not in ALLOWED else []
            case ast.ImportFrom(level=level) if level > 1:
                faults.append('.' * level + (node.module or ''))
            case ast.Call(func=ast.Name(id=name)) if name in FORBIDDEN_CALLS:
                faults.append(name)
            case ast.Attribute(value=ast.Name(id='random'), attr=attr):
                faults += [f'random.{attr}'] if attr != 'Random' else []
            case ast.Call(
                func=ast.Attribute(value=ast.Name(id='random')), args=[]
            ):
                faults.append('random.Random without a seed')
    return faults


class EmbeddingTest(unittest.TestCase):
    @params(*MODULES)
    def test_a_module_depends_on_no_other_package(self, name):
        source = (PACKAGE / name).read_text(encoding='utf-8')
        self.assertEqual([], find_faults(source))

    @params(
        ('import time', 'time'),
        ('from random import random', 'random'),
        ('random.uniform(0, 1)', 'random.uniform'),
        ('random.Random()', 'random.Random without a seed'),
        ('from .. import reducer', '..'),
        ('from ..verdict import Verdict', '..verdict'),
        ('from dandeliongw import reducer', 'dandeliongw'),
        ("open('journal')", 'open'),
    )
    def test_the_check_detects(self, source, fault):
        self.assertEqual([fault], find_faults(source))

    def test_the_example_prints_the_expected_lines(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            runpy.run_path('examples/embedding.py', run_name='__main__')
        lines = output.getvalue().splitlines()
        replayed = "Replayed(outcome=b'booked: lesson 4')"
        self.assertEqual('entry-1 begins: Granted()', lines[0])
        self.assertIn('InProgress(retry_after_s=', lines[1])
        self.assertEqual('entry-1 finishes: Recorded()', lines[2])
        self.assertEqual(f'a resend to entry-2: {replayed}', lines[3])
        self.assertEqual(f'after a restart: {replayed}', lines[4])
        self.assertEqual(5, len(lines))
