import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import testing


def _make_engine(**load):
    table = dispatch.EndpointTable(silence_s=1.0)
    record = testing.make_endpoint_record("d1", role=membership.Role.DECODE)
    table.note_record("d1", record)
    (engine,) = table.list_all()
    for name, value in load.items():
        setattr(engine, name, value)
    return engine


class SelfReadTest(unittest.TestCase):
    """Prompts that a decode engine reads between the tokens of others.

    Seven pieces of a long prompt in a row make every other stream of the
    engine pause for longer than is on time.
    """

    def check(self, engine, tokens):
        size = dispatch.WorkSize(prompt_tokens=tokens, output_tokens=100)
        return dispatch.Placement.may_read_itself(engine, size)

    def test_short_prompt_is_read_beside_others(self):
        self.assertTrue(self.check(_make_engine(in_flight=6), 6000))

    def test_long_prompt_is_not(self):
        self.assertFalse(self.check(_make_engine(in_flight=6), 7200))

    def test_long_prompt_is_read_where_nobody_waits(self):
        self.assertTrue(self.check(_make_engine(in_flight=0), 11_000))

    def test_one_at_a_time(self):
        engine = _make_engine(in_flight=2, prefill_tokens=3000)
        self.assertFalse(self.check(engine, 2000))
