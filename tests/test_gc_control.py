"""Objects created at the start of a process are not collected again."""

import gc
import unittest

from dandeliongw import gc_control


class GcControlTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)

    def test_no_collections_during_the_start(self):
        gc_control.disable_gc()
        self.assertFalse(gc.isenabled())

    def test_a_serving_process_collects_only_new_objects(self):
        """A full collection skips the objects that imports have created.

        Scanning them too would block an instance for 50 ms now and then.
        """
        gc_control.disable_gc()
        held = [[] for _ in range(1_000)]
        gc_control.freeze_and_enable_gc()
        self.assertTrue(gc.isenabled())
        self.assertGreaterEqual(gc.get_freeze_count(), len(held))
        self.assertLess(len(gc.get_objects()), len(held))
