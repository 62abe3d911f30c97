import unittest

from sassafrasstile import membership
from sassafrasstile import testing


class RosterTest(unittest.TestCase):
    """The known endpoints during and after outages of the list."""

    def setUp(self):
        self.records = {}
        self.roster = membership.Roster(on_change=self.records.__setitem__)

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
