import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import testing


class GrantTest(unittest.TestCase):
    """The reservations of a running generation."""

    def setUp(self):
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name, role in (
            ("d1", membership.Role.DECODE),
            ("p1", membership.Role.PREFILL),
        ):
            table.update_record(
                name, testing.make_endpoint_record(name, role=role)
            )
        self.decode, self.prefill = table.list_all()
        self.grant = dispatch.Grant(
            decode=self.decode,
            prefill=self.prefill,
            size=dispatch.WorkSize(prompt_tokens=1000, output_tokens=500),
        )
        self.grant.reserve()

    def test_output_longer_than_expected_reserves_more(self):
        self.grant.update_output_tokens(400)
        self.assertEqual(self.decode.reserved_tokens, 1500)
        self.grant.update_output_tokens(700)
        self.assertGreater(self.decode.reserved_tokens, 1700)

    def test_repeated_release_frees_everything_once(self):
        self.grant.update_output_tokens(900)
        self.grant.release()
        self.grant.release()
        self.assertEqual(self.decode.reserved_tokens, 0)
        self.assertEqual(self.decode.in_flight, 0)
        self.assertEqual(self.prefill.prefill_tokens, 0)
