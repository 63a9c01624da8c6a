"""What a process holds from its start on is not collected again."""

import gc
import unittest

from dandeliongw import gc_control


class HeapTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)

    def test_a_start_is_not_held_up_by_collections(self):
        gc_control.disable_gc()
        self.assertFalse(gc.isenabled())

    def test_a_process_that_serves_collects_only_what_is_new(self):
        """Symptom: now and then an instance answers nothing for 50 ms.

        Sequence: enough new objects live for a full collection to be due.
        Cause: it goes through all that imports have left.
        """
        gc_control.disable_gc()
        held = [[] for _ in range(1_000)]
        gc_control.freeze_and_enable_gc()
        self.assertTrue(gc.isenabled())
        self.assertGreaterEqual(gc.get_freeze_count(), len(held))
        self.assertLess(len(gc.get_objects()), len(held))
