"""Runs the command line for ``python -m dandeliongw``."""

import sys

from . import command

if __name__ == '__main__':
    sys.exit(command.main())
