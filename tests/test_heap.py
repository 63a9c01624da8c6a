"""Objects created at the start of a process are not collected again."""

import gc
import unittest

from dandeliongw import heap


class HeapTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)

    def test_no_collections_during_the_start(self):
        heap.pause()
        self.assertFalse(gc.isenabled())

    def test_a_serving_process_collects_only_new_objects(self):
        """A full collection skips the objects that imports have created.

        Scanning them too would block an instance for 50 ms now and then.
        """
        heap.pause()
        held = [[] for _ in range(1_000)]
        heap.settle()
        self.assertTrue(gc.isenabled())
        self.assertGreaterEqual(gc.get_freeze_count(), len(held))
        self.assertLess(len(gc.get_objects()), len(held))
