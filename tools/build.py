"""Builds ``dist/dandeliongw``, one file with the package and its libraries.

The file is a zip archive with an interpreter line, made with shiv. At its
first start it unpacks itself into a folder named after a hash of its
contents, and then runs in the same process.
"""

from collections import abc
import datetime
from importlib import metadata
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipfile

import defopt
from packaging import requirements
from packaging import utils
import shiv
from shiv.bootstrap import environment
from shiv import builder
from shiv import constants

ROOT = pathlib.Path(__file__).parent.parent
PYTHON = sys.version_info[:2]
ENTRY_POINT = 'dandeliongw.command:main'
START = pathlib.Path(__file__).with_name('binary_start.py')
#: Time of all entries of the archive, for reproducible builds.
BUILT_AT = datetime.datetime(2020, 1, 1)


def build(target: pathlib.Path) -> None:
    """Build the file and replace an existing one atomically."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix='dandeliongw-build-') as folder:
        site = pathlib.Path(folder) / 'site'
        _install(site)
        new = target.with_name(f'.{target.name}.{os.getpid()}')
        pack(site, new)
        # Replace instead of overwriting: a running instance may still read
        # the old file.
        new.replace(target)


def _install(site: pathlib.Path) -> None:
    """Install the package and its dependencies into a folder.

    The libraries are copied from the current environment, which has the
    pinned versions. So the file contains the versions that were tested.
    """
    site.mkdir()
    for name in _resolve_dependencies(
        (ROOT / 'requirements.txt').read_text().split()
    ):
        _copy_library(metadata.distribution(name), site)
    with tempfile.TemporaryDirectory(prefix='dandeliongw-src-') as folder:
        source = pathlib.Path(folder)
        for name in ('pyproject.toml', 'requirements.txt', 'README.md'):
            shutil.copy(ROOT / name, source / name)
        shutil.copytree(
            ROOT / 'dandeliongw',
            source / 'dandeliongw',
            ignore=shutil.ignore_patterns('__pycache__', '*.proto'),
        )
        subprocess.run(
            [
                *(sys.executable, '-m', 'pip', 'install', '--quiet'),
                *('--disable-pip-version-check', '--no-compile'),
                *('--no-deps', '--no-build-isolation'),
                *('--target', str(site), str(source)),
            ],
            check=True,
        )
    for name in ('direct_url.json', 'RECORD'):
        # They contain the path of this build's folder, which differs between
        # builds.
        for path in site.glob(f'dandeliongw-*.dist-info/{name}'):
            path.unlink()
    shutil.rmtree(site / 'bin', ignore_errors=True)


def _resolve_dependencies(lines: abc.Iterable[str]) -> list[str]:
    """Return the names of requirements and their transitive dependencies."""
    found: dict[str, str] = {}
    pending = [requirements.Requirement(line) for line in lines]
    while pending:
        requirement = pending.pop()
        name = utils.canonicalize_name(requirement.name)
        if name not in found:
            found[name] = requirement.name
            pending += _requires(name, requirement.extras)
    return sorted(found)


def _requires(
    name: str, extras: abc.Iterable[str]
) -> list[requirements.Requirement]:
    parsed = [
        requirements.Requirement(line)
        for line in metadata.distribution(name).requires or ()
    ]
    return [
        each
        for each in parsed
        if each.marker is None
        or any(
            each.marker.evaluate({'extra': extra}) for extra in ('', *extras)
        )
    ]


def _copy_library(library: metadata.Distribution, site: pathlib.Path) -> None:
    for file in library.files or ():
        # Leave out scripts, which lie outside of the folder, and bytecode,
        # which is compiled again where the file runs.
        if '..' in file.parts or file.suffix == '.pyc':
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(file.locate(), target)


def pack(site: pathlib.Path, target: pathlib.Path) -> None:
    """Write a folder of installed packages as one executable file."""
    env = environment.Environment(
        built_at=BUILT_AT.strftime(constants.BUILD_AT_TIMESTAMP_FORMAT),
        shiv_version=shiv.__version__,
        entry_point=ENTRY_POINT,
        compile_pyc=False,
        reproducible=True,
    )
    builder.create_archive(
        [site],
        target,
        interpreter=f'/usr/bin/env python{PYTHON[0]}.{PYTHON[1]}',
        main='_start:main',
        env=env,
    )
    with zipfile.ZipFile(target, 'a') as archive:
        for name, text in (
            ('_start.py', START.read_text()),
            ('_built.py', f'PYTHON = {PYTHON}\n'),
        ):
            archive.writestr(_entry(name), text)


def _entry(name: str) -> zipfile.ZipInfo:
    entry = zipfile.ZipInfo(name, date_time=BUILT_AT.timetuple()[:6])
    entry.compress_type = zipfile.ZIP_DEFLATED
    return entry


def main(*, output: str = 'dist/dandeliongw') -> None:
    """Build one file that holds the program and its libraries.

    :param output: where to write it
    """
    target = pathlib.Path(output)
    build(target)
    print(f'{target}: {target.stat().st_size} bytes')


if __name__ == '__main__':
    defopt.run(main)
