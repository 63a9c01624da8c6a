"""The one file: one process, its version, where it unpacks itself."""

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

#: Only the interpreter: with the tests' own environment in the path, a
#: library that the file lacks would be found there.
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
    for stat in pathlib.Path('/proc').glob('[0-9]*/stat'):
        try:
            fields = stat.read_text().rpartition(')')[2].split()
        except OSError:
            continue  # It has ended meanwhile.
        if int(fields[1]) == pid:
            found.append(int(stat.parent.name))
    return found


class BuiltFileTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory(prefix='dandeliongw-test-')
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.file = cls.folder / 'dandeliongw'
        build.build(cls.file)

    def test_it_tells_the_version_of_the_package(self) -> None:
        done = run_file(self.file, '--version', root=str(self.folder / 'u'))
        self.assertEqual(dandeliongw.__version__, done.stdout.strip())

    def test_a_running_instance_is_the_one_process_that_was_started(
        self,
    ) -> None:
        """Symptom: ending the process leaves the instance running.

        Sequence: the built file is started; the supervisor signals its id.
        Cause: a loader that forks the program and waits for it.
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
        """Pack a stand-in for the package that prints a word."""
        site = self.folder / word / 'site'
        (site / 'dandeliongw').mkdir(parents=True)
        (site / 'dandeliongw' / '__init__.py').touch()
        (site / 'dandeliongw' / 'command.py').write_text(
            f'def main():\n    print({word!r})\n'
        )
        target = self.folder / word / 'dandeliongw'
        build.pack(site, target)
        return target

    def test_two_versions_of_one_name_keep_apart(self) -> None:
        """Symptom: after an upgrade the old version runs on.

        Sequence: the old file runs, then the new one of the same name.
        Cause: both unpack into one folder, and the first one stays.
        """
        files = [self.pack('old'), self.pack('new')]
        said = [
            run_file(each, root=str(self.folder / 'u')).stdout.strip()
            for each in (*files, files[0])
        ]
        self.assertEqual(['old', 'new', 'old'], said)

    def test_equal_sources_make_equal_files(self) -> None:
        file = self.pack('old')
        again = file.with_name('again')
        build.pack(file.with_name('site'), again)
        self.assertEqual(file.read_bytes(), again.read_bytes())

    def test_a_folder_that_cannot_be_written_is_named(self) -> None:
        """Symptom: a traceback of a library at the start of an instance.

        Sequence: an account without a home, or a read-only one, starts it.
        Cause: the file unpacks itself below the home by default.
        """
        file = self.pack('old')
        blocked = f'{file}/below-a-file'
        done = run_file(file, root=blocked)
        self.assertEqual(binary_start.EXIT_CODE, done.returncode)
        self.assertIn(f'cannot unpack into {blocked}', done.stderr)
        self.assertIn('Set SHIV_ROOT', done.stderr)
        self.assertNotIn('Traceback', done.stderr)

    def test_another_python_than_that_of_the_build_is_refused(self) -> None:
        """Symptom: an import error deep inside a library.

        Sequence: the file is copied to an instance with a later Python.
        Cause: some libraries are compiled for one version of Python.
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
