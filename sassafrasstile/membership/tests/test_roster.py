import unittest

from sassafrasstile import membership
from sassafrasstile import testing


class RosterTest(unittest.TestCase):
    """The list of endpoints through outages."""

    def setUp(self):
        self.seen = {}
        self.roster = membership.Roster(on_change=self.seen.__setitem__)

    def test_removal_counts_at_once(self):
        self.roster.apply(testing.make_endpoint_record("a"))
        self.roster.remove("a", 10.0)
        self.assertIsNone(self.seen["a"])

    def test_lapse_in_an_outage_is_bridged_until_the_grace_ends(self):
        self.roster.apply(testing.make_endpoint_record("a"))
        self.roster.record_outage()
        self.roster.record_contact(10.0)
        self.roster.remove("a", 10.0)
        self.roster.tick(11.9)
        self.assertIsNotNone(self.seen["a"])
        self.roster.tick(12.0)
        self.assertIsNone(self.seen["a"])

    def test_entry_that_is_back_in_time_stays(self):
        record = testing.make_endpoint_record("a")
        self.roster.apply(record)
        self.roster.record_outage()
        self.roster.record_contact(10.0)
        self.roster.remove("a", 10.0)
        self.roster.apply(record)
        self.roster.tick(20.0)
        self.assertEqual(self.seen["a"], record)

    def test_removal_well_after_an_outage_counts_at_once(self):
        self.roster.apply(testing.make_endpoint_record("a"))
        self.roster.record_outage()
        self.roster.record_contact(10.0)
        self.roster.remove("a", 11.5)
        self.assertIsNone(self.seen["a"])

    def test_removal_of_a_draining_endpoint_counts_in_an_outage(self):
        self.roster.apply(
            testing.make_endpoint_record(
                "a", state=membership.EndpointState.DRAINING
            )
        )
        self.roster.record_outage()
        self.roster.remove("a", 10.0)
        self.assertIsNone(self.seen["a"])

    def test_older_start_doesn_t_replace_a_newer_one(self):
        newer = testing.make_endpoint_record("a", started_ms=5)
        self.roster.apply(newer)
        self.roster.apply(testing.make_endpoint_record("a", started_ms=4))
        self.assertEqual(self.seen["a"], newer)
