"""The state that a cell's owner keeps for one backend server."""

import unittest

from dandeliongw.cell import backend_state
from dandeliongw.cell import cell_types
from dandeliongw.cell import prefixes


class BlocksTest(unittest.TestCase):
    def test_blocks_are_bounded_and_the_oldest_are_dropped(self):
        backend = cell_types.CellBackend(
            backend_id='p1',
            incarnation=1,
            role=cell_types.Role.PREFILL,
            url='',
            slots=1,
        )
        state = backend_state.BackendState(backend=backend)
        state.add_blocks(('first', 'second'))
        self.assertEqual(
            2 * prefixes.BLOCK_TOKENS,
            state.cached_tokens(('first', 'second', 'third')),
        )
        state.add_blocks(str(n) for n in range(backend_state.MAX_BLOCKS))
        self.assertEqual(0, state.cached_tokens(('first',)))
        self.assertEqual(backend_state.MAX_BLOCKS, len(state.blocks))
