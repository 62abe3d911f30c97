import unittest

from sassafrasstile import membership
from sassafrasstile import testing


class RosterTest(unittest.TestCase):
    """The known endpoints during and after outages of the list."""

    def setUp(self):
        self.records = {}
        self.roster = membership.Roster(
            on_change=self.records.__setitem__, heartbeat_s=1.2
        )

    def test_removal_takes_effect_immediately(self):
        self.roster.apply(testing.make_endpoint_record("a"))
        self.roster.remove("a", 10.0)
        self.assertIsNone(self.records["a"])

    def test_entry_that_expired_in_an_outage_is_kept_for_the_grace_period(self):
        self.roster.apply(testing.make_endpoint_record("a"))
        self.roster.record_outage()
        self.roster.record_contact(10.0)
        self.roster.remove("a", 10.0)
        self.roster.tick(11.9)
        self.assertIsNotNone(self.records["a"])
        self.roster.tick(12.0)
        self.assertIsNone(self.records["a"])

    def test_entry_that_reappears_in_time_is_kept(self):
        record = testing.make_endpoint_record("a")
        self.roster.apply(record)
        self.roster.record_outage()
        self.roster.record_contact(10.0)
        self.roster.remove("a", 10.0)
        self.roster.apply(record)
        self.roster.tick(20.0)
        self.assertEqual(self.records["a"], record)

    def test_removal_well_after_an_outage_takes_effect_immediately(self):
        self.roster.apply(testing.make_endpoint_record("a"))
        self.roster.record_outage()
        self.roster.record_contact(10.0)
        self.roster.remove("a", 11.5)
        self.assertIsNone(self.records["a"])

    def test_removal_of_a_draining_endpoint_takes_effect_in_an_outage(self):
        self.roster.apply(
            testing.make_endpoint_record(
                "a", state=membership.EndpointState.DRAINING
            )
        )
        self.roster.record_outage()
        self.roster.remove("a", 10.0)
        self.assertIsNone(self.records["a"])

    def test_older_incarnation_does_not_replace_a_newer_one(self):
        newer = testing.make_endpoint_record("a", started_ms=5)
        self.roster.apply(newer)
        self.roster.apply(testing.make_endpoint_record("a", started_ms=4))
        self.assertEqual(self.records["a"], newer)


class RestoreTest(unittest.TestCase):
    """The known endpoints after the list was restored from a copy."""

    def setUp(self):
        self.records = {}
        self.roster = membership.Roster(
            on_change=self.records.__setitem__, heartbeat_s=1.2
        )
        self.record = testing.make_endpoint_record("a")
        self.draining = testing.make_endpoint_record(
            "a", state=membership.EndpointState.DRAINING
        )
        self.roster.apply(self.record)

    def restore(self, *records):
        self.roster.record_restore(10.0)
        self.roster.record_contact(10.0)
        for record in records:
            self.roster.apply(record)
        self.roster.tick(10.0)

    # The copy may only lack it, though no call to the list has failed.
    def test_endpoint_that_the_copy_lacks_is_kept_for_the_grace_period(self):
        self.restore()
        self.roster.remove("a", 10.0)
        self.roster.tick(11.9)
        self.assertEqual(self.records["a"], self.record)
        self.roster.tick(12.0)
        self.assertIsNone(self.records["a"])

    def test_endpoint_that_was_removed_does_not_come_back(self):
        self.roster.remove("a", 5.0)
        self.restore(self.record)
        self.assertIsNone(self.records["a"])
        # It expires from the restored list.
        self.roster.remove("a", 13.6)
        self.roster.tick(20.0)
        self.assertIsNone(self.records["a"])

    def test_endpoint_that_drains_does_not_become_ready(self):
        self.roster.apply(self.draining)
        self.restore(self.record)
        self.assertEqual(self.records["a"], self.draining)
        self.roster.remove("a", 10.5)
        self.roster.tick(20.0)
        self.assertIsNone(self.records["a"])

    def test_earlier_instance_does_not_come_back(self):
        self.roster.apply(testing.make_endpoint_record("a", started_ms=5))
        self.roster.remove("a", 5.0)
        self.restore(testing.make_endpoint_record("a", started_ms=4))
        self.assertIsNone(self.records["a"])

    # An endpoint that was silent for a while may have returned meanwhile.
    def test_endpoint_that_the_list_still_holds_later_is_alive(self):
        self.roster.remove("a", 5.0)
        self.restore(self.record)
        self.roster.tick(14.9)
        self.assertIsNone(self.records["a"])
        self.roster.tick(15.0)
        self.assertEqual(self.records["a"], self.record)

    def test_new_instance_counts_at_once(self):
        self.roster.remove("a", 5.0)
        newer = testing.make_endpoint_record("a", started_ms=9)
        self.restore(newer)
        self.assertEqual(self.records["a"], newer)

    def test_endpoint_that_returned_before_the_restore_stays(self):
        self.roster.remove("a", 5.0)
        self.roster.apply(self.record)
        self.restore(self.record)
        self.assertEqual(self.records["a"], self.record)
