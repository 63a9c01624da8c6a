"""The single-file build: its process, its version, where it unpacks."""

import io
import os
import pathlib
import subprocess
import sys
import tempfile
import types
import unittest
from unittest import mock

import dandeliongw
from tools import binary_start
from tools import build
from tools import local

#: Only the interpreter. With the tests' environment on the path, a library
#: missing from the file would be found there.
PATH = f'{sys.base_prefix}/bin:/usr/bin:/bin'


def run_file(
    file: pathlib.Path, *arguments: str, root: str
) -> subprocess.CompletedProcess:
    return subprocess.run(
        [str(file), *arguments],
        env={'PATH': PATH, 'HOME': root, 'SHIV_ROOT': root},
        capture_output=True,
        text=True,
    )


def children_of(pid: int) -> list[int]:
    """Return the processes whose parent is ``pid``, from /proc."""
    found = []
    # A pattern that looked for files would fail if a process ended meanwhile.
    for folder in pathlib.Path('/proc').glob('[0-9]*'):
        try:
            fields = (folder / 'stat').read_text().rpartition(')')[2].split()
        except OSError:
            continue  # The process has ended meanwhile.
        if int(fields[1]) == pid:
            found.append(int(folder.name))
    return found


class BuiltFileTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory(prefix='dandeliongw-test-')
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.file = cls.folder / 'dandeliongw'
        build.build(cls.file)

    def test_it_shows_the_version_of_the_package(self) -> None:
        done = run_file(self.file, '--version', root=str(self.folder / 'u'))
        self.assertEqual(dandeliongw.__version__, done.stdout.strip())

    def test_a_running_instance_is_the_one_process_that_was_started(
        self,
    ) -> None:
        """The loader must not fork the program and wait for it.

        A supervisor that signals the started process would then leave the
        instance running.
        """
        environment = {'PATH': PATH, 'SHIV_ROOT': str(self.folder / 'u')}
        with (
            mock.patch.dict(os.environ, environment),
            local.run_system(
                folder=self.folder,
                instances=1,
                command=(str(self.file),),
                timeouts={'entries_ttl_s': 0.1},
            ) as system,
        ):
            process = system.instances_by_id['gw-1'].process
            self.assertEqual([], children_of(process.pid))
            program = os.readlink(f'/proc/{process.pid}/exe')
            process.terminate()
            self.assertEqual(0, process.wait(local.STOP_S))
        self.assertIn('python', pathlib.Path(program).name)


class UnpackingTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix='dandeliongw-test-')
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def pack(self, word: str) -> pathlib.Path:
        """Pack a fake of the package that prints a word."""
        site = self.folder / word / 'site'
        (site / 'dandeliongw').mkdir(parents=True)
        (site / 'dandeliongw' / '__init__.py').touch()
        (site / 'dandeliongw' / 'command.py').write_text(
            f'def main():\n    print({word!r})\n'
        )
        target = self.folder / word / 'dandeliongw'
        build.pack(site, target)
        return target

    def test_two_versions_of_one_name_unpack_separately(self) -> None:
        """Files of the same name but other contents use other folders.

        If both unpacked into one folder, the first one would stay there, and
        the old version would still run after an upgrade.
        """
        files = [self.pack('old'), self.pack('new')]
        outputs = [
            run_file(each, root=str(self.folder / 'u')).stdout.strip()
            for each in (*files, files[0])
        ]
        self.assertEqual(['old', 'new', 'old'], outputs)

    def test_equal_sources_make_equal_files(self) -> None:
        file = self.pack('old')
        again = file.with_name('again')
        build.pack(file.with_name('site'), again)
        self.assertEqual(file.read_bytes(), again.read_bytes())

    def test_a_folder_that_cannot_be_written_is_named(self) -> None:
        """The file unpacks itself below the home folder by default.

        If a user without a home, or with a read-only one, starts an instance,
        a message and not a library's traceback must appear.
        """
        file = self.pack('old')
        blocked = f'{file}/below-a-file'
        done = run_file(file, root=blocked)
        self.assertEqual(binary_start.EXIT_CODE, done.returncode)
        self.assertIn(f'cannot unpack into {blocked}', done.stderr)
        self.assertIn('Set SHIV_ROOT', done.stderr)
        self.assertNotIn('Traceback', done.stderr)

    def test_another_python_than_that_of_the_build_is_refused(self) -> None:
        """Some libraries are compiled for one version of Python.

        On a machine with another version, the file must report it instead of
        failing with an import error inside a library.
        """
        modules = {
            '_bootstrap': mock.Mock(),
            '_built': types.SimpleNamespace(PYTHON=(3, 99)),
        }
        with (
            mock.patch.dict(sys.modules, modules),
            mock.patch.object(sys, 'stderr', io.StringIO()) as stderr,
            self.assertRaises(SystemExit) as raised,
        ):
            binary_start.main()
        self.assertEqual(binary_start.USAGE_EXIT_CODE, raised.exception.code)
        self.assertIn('needs Python 3.99', stderr.getvalue())
