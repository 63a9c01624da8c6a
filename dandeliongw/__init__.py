"""A router for separate prefill and decode pools.

The public API consists of the names that this module re-exports; modules
whose names begin with an underscore are private.
"""

from .verdict import Refusal
from .verdict import RefusalReason
from .verdict import RetryReason
from .verdict import Verdict

__version__ = '0.1.0'

__all__ = [
    'Refusal',
    'RefusalReason',
    'RetryReason',
    'Verdict',
    '__version__',
]
