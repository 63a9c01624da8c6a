"""What runs first in the built file, before anything is unpacked.

It stands alone: no library and nothing of the package can be imported yet.
"""

import functools
import os
import sys

FOLDER_VARIABLE = 'SHIV_ROOT'
#: As for a data folder that can't be used, see docs/COMMANDS.md.
EXIT_CODE = 7
USAGE_EXIT_CODE = 2


def main():
    """Check the interpreter, unpack if need be, run the command line."""
    import _bootstrap
    import _built

    if sys.version_info[:2] != _built.PYTHON:
        _fail(
            'needs Python {}.{}, as it was built for; this is {}.{}'.format(
                *_built.PYTHON, *sys.version_info[:2]
            ),
            USAGE_EXIT_CODE,
        )
    # It would compile with a process for each core; an instance starts none.
    os.environ.pop('SHIV_COMPILE_PYC', None)
    _bootstrap.cache_path = _explained(_bootstrap.cache_path)
    _bootstrap.extract_site_packages = _explained(
        _bootstrap.extract_site_packages
    )
    _bootstrap.bootstrap()


def _explained(step):
    """Return a step of the unpacking that fails with a message.

    A home that is read-only, full or missing would otherwise show as a
    traceback of a library, from which nobody learns what to set.
    """

    @functools.wraps(step)
    def run(*arguments):
        try:
            return step(*arguments)
        except (OSError, RuntimeError) as error:
            folder = os.environ.get(FOLDER_VARIABLE, '~/.shiv')
            _fail(
                f'cannot unpack into {folder}: {error}. Set '
                f'{FOLDER_VARIABLE} to a folder that this user can write',
                EXIT_CODE,
            )

    return run


def _fail(message, exit_code):
    sys.stderr.write(f'Error: dandeliongw {message}\n')
    sys.exit(exit_code)
