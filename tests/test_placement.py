"""Owners of cells: the same at each instance, spread over data centres."""

import random
import unittest

from dandeliongw.coordination import placement

MEMBERS = [
    placement.Member(
        instance_id=f'gw-{number}', data_centre=f'dc-{number % 3}'
    )
    for number in range(9)
]
CELLS = [f'cell-{number}' for number in range(60)]


class PlacementTest(unittest.TestCase):
    def test_the_order_of_the_members_does_not_change_the_ranking(self):
        shuffled = random.Random(1).sample(MEMBERS, len(MEMBERS))
        for cell in CELLS:
            self.assertEqual(
                placement.ranked_owners(cell, MEMBERS),
                placement.ranked_owners(cell, shuffled),
            )

    def test_deputies_are_in_other_data_centres(self):
        data_centres = {m.instance_id: m.data_centre for m in MEMBERS}
        for cell in CELLS:
            owners = placement.ranked_owners(cell, MEMBERS)
            self.assertEqual(3, len({data_centres[o] for o in owners}))

    def test_a_lost_instance_moves_only_its_own_cells_to_their_deputies(self):
        left = MEMBERS[1:]
        for cell in CELLS:
            before = placement.ranked_owners(cell, MEMBERS, count=9)
            after = placement.ranked_owners(cell, left)
            if before[0] == MEMBERS[0].instance_id:
                self.assertIn(after[0], before[1:])
            else:
                self.assertEqual(before[0], after[0])

    def test_fewer_members_than_requested(self):
        self.assertEqual((), placement.ranked_owners('cell-1', []))
        one = placement.ranked_owners('cell-1', MEMBERS[:1])
        self.assertEqual(('gw-0',), one)
