"""The platform's names are used in its adapter only."""

import pathlib
import re
import unittest

from tests import on_platform

from adapter import headers
from adapter import wire

#: Names that many other systems use, too.
COMMON = {'X-Request-Id', 'Last-Event-Id'}
#: Files that may contain the names: the adapter, its tests and its pages.
ALLOWED = re.compile(
    r'platform/|deploy/|journal/|tests/test_platform|tests/on_platform'
    r'|docs/(PLATFORM-DESIGN|FINDINGS|OPERATIONS)|docs/incidents'
)
SUFFIXES = ('.py', '.md', '.json', '.toml', '.proto')


def names():
    """Return the headers and fields that only the platform uses."""
    found = {
        value
        for name, value in vars(headers).items()
        if name.isupper() and isinstance(value, str) and '-' in value
    }
    for model in vars(wire).values():
        if isinstance(model, type) and issubclass(model, wire.Message):
            found |= {each.alias for each in model.model_fields.values()}
    return {
        name
        for name in found - COMMON
        if name and ('-' in name or re.search('[A-Z]', name))
    }


def files():
    for path in on_platform.ROOT.rglob('*'):
        place = path.relative_to(on_platform.ROOT).as_posix()
        hidden = place.startswith(('.', 'target/', 'dist/', 'build/'))
        if path.suffix in SUFFIXES and not hidden:
            yield place, path


class NamesTest(unittest.TestCase):
    def test_the_names_are_found(self):
        self.assertLessEqual({'X-Kv-Source', 'pathPrefix'}, names())

    def test_no_other_file_contains_the_names(self):
        """Guards against a change of the platform that affects all code.

        It happens where code outside the adapter uses the platform's names;
        they are also less clear there than the project's own.
        """
        pattern = re.compile('|'.join(rf'\b{each}\b' for each in names()))
        found = [
            f'{place}: {match[0]}'
            for place, path in files()
            if not ALLOWED.match(place)
            for match in pattern.finditer(path.read_text(errors='replace'))
        ]
        self.assertEqual(found, [])

    def test_the_folder_hides_no_module_of_the_standard_library(self):
        folder = pathlib.Path(on_platform.FOLDER)
        self.assertFalse((folder / '__init__.py').exists())
