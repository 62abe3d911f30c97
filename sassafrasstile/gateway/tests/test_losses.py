import unittest

from sassafrasstile.gateway import _losses


class LossTableTest(unittest.TestCase):
    def setUp(self):
        self.table = _losses.LossTable()

    def run_between(self, start, end):
        """Ticks as the kernel does while the process isn't suspended."""
        for step in range(round((end - start) / 0.05) + 1):
            self.table.advance(start + 0.05 * step)

    def test_offset_counts_after_the_process_has_run_on(self):
        self.run_between(0.0, 1.0)
        self.table.record("desk", 7, now=1.0)
        self.assertEqual(self.table.find_offset("desk", now=1.01), 0)
        self.run_between(1.01, 1.31)
        self.assertEqual(self.table.find_offset("desk", now=1.31), 7)
        self.assertEqual(self.table.find_offset("other", now=1.31), 0)

    # A suspended gateway may read a sidecar's batch before a call that was
    # sent earlier.
    def test_offset_learned_after_a_suspension_does_not_count_at_once(self):
        self.run_between(0.0, 1.0)
        self.table.record("desk", 7, now=6.0)
        self.assertEqual(self.table.find_offset("desk", now=6.0), 0)

    # Time for which the process was suspended doesn't count.
    def test_offset_learned_before_a_suspension_does_not_count_at_once(self):
        self.run_between(0.0, 1.0)
        self.table.record("desk", 7, now=1.0)
        self.assertEqual(self.table.find_offset("desk", now=6.0), 0)
        self.run_between(6.0, 6.3)
        self.assertEqual(self.table.find_offset("desk", now=6.3), 7)

    def test_older_offset_of_another_sidecar_is_ignored(self):
        self.run_between(0.0, 1.0)
        self.table.record("desk", 7, now=1.0)
        self.run_between(1.0, 2.0)
        self.table.record("desk", 5, now=2.0)
        self.run_between(2.0, 3.0)
        self.assertEqual(self.table.find_offset("desk", now=3.0), 7)
