"""Builds ``dist/dandeliongw``: the package and its libraries in one file.

The file is a zip archive with an interpreter line, made with shiv. It
unpacks itself at its first start, into a folder named after its contents,
and then runs in the same process.
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
#: All times in the archive, so that equal sources make equal files.
BUILT_AT = datetime.datetime(2020, 1, 1)


def build(target: pathlib.Path) -> None:
    """Write the file, replacing one that is there in one step."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix='dandeliongw-build-') as folder:
        site = pathlib.Path(folder) / 'site'
        _install(site)
        new = target.with_name(f'.{target.name}.{os.getpid()}')
        pack(site, new)
        # Replaced, never overwritten: a running instance may still read it.
        new.replace(target)


def _install(site: pathlib.Path) -> None:
    """Put the package and every library that it needs into a folder.

    The libraries are copied from the environment that runs this, which
    holds the pinned ones: so the file has what the tests ran with.
    """
    site.mkdir()
    for name in _needed((ROOT / 'requirements.txt').read_text().split()):
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
        # They name the folder of this build.
        for path in site.glob(f'dandeliongw-*.dist-info/{name}'):
            path.unlink()
    shutil.rmtree(site / 'bin', ignore_errors=True)


def _needed(lines: abc.Iterable[str]) -> list[str]:
    """Return the names of these requirements and of all that they need."""
    found: dict[str, str] = {}
    waiting = [requirements.Requirement(line) for line in lines]
    while waiting:
        requirement = waiting.pop()
        name = utils.canonicalize_name(requirement.name)
        if name not in found:
            found[name] = requirement.name
            waiting += _requires(name, requirement.extras)
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
        # Scripts lie outside, and compiled code is made again where it runs.
        if '..' in file.parts or file.suffix == '.pyc':
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(file.locate(), target)


def pack(site: pathlib.Path, target: pathlib.Path) -> None:
    """Write a folder of installed packages as one file that runs itself."""
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
