"""Start-up code of the built file, run before anything is unpacked.

It imports only the standard library and modules at the top of the archive;
the package and its libraries can't be imported yet.
"""

import functools
import os
import sys

FOLDER_VARIABLE = 'SHIV_ROOT'
#: The same as for an unusable data folder, see docs/COMMANDS.md.
EXIT_CODE = 7
USAGE_EXIT_CODE = 2


def main():
    """Check the Python version, unpack if necessary, run the command line."""
    import _bootstrap
    import _built

    if sys.version_info[:2] != _built.PYTHON:
        _fail(
            'needs Python {}.{}, as it was built for; this is {}.{}'.format(
                *_built.PYTHON, *sys.version_info[:2]
            ),
            USAGE_EXIT_CODE,
        )
    # With it, shiv would compile in one process per core; an instance must
    # not start processes.
    os.environ.pop('SHIV_COMPILE_PYC', None)
    _bootstrap.cache_path = _with_clear_error(_bootstrap.cache_path)
    _bootstrap.extract_site_packages = _with_clear_error(
        _bootstrap.extract_site_packages
    )
    _bootstrap.bootstrap()


def _with_clear_error(step):
    """Wrap a step of the unpacking so that it fails with a clear message.

    If the home directory is read-only, full or missing, shiv would only show
    a traceback, which doesn't say which variable to set.
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
