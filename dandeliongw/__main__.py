"""Lets ``python -m dandeliongw`` run the command line."""

import sys

from . import command

if __name__ == '__main__':
    sys.exit(command.main())
