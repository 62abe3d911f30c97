import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import roles
from sassafrasstile import testing


def _make_engines(prefills, decodes):
    table = dispatch.EndpointTable(silence_timeout_s=1.0)
    for role, count in (
        (membership.Role.PREFILL, prefills),
        (membership.Role.DECODE, decodes),
    ):
        for number in range(count):
            name = f"{role.value}{number}"
            record = testing.make_endpoint_record(
                name, role=role, zone=f"z{number % 3}"
            )
            table.update_record(name, record)
    return table.list_all()


class PlanTest(unittest.TestCase):
    """Which engine should change its role."""

    def choose(self, engines, changing=None):
        return roles.choose_order(
            engines, changing=changing or {}, prefill_share=0.2
        )

    def test_spare_prefill_engine_is_to_decode(self):
        order = self.choose(_make_engines(4, 5))
        self.assertIs(order.role, membership.Role.DECODE)
        self.assertIs(order.engine.record.role, membership.Role.PREFILL)

    def test_nothing_changes_when_the_share_is_right(self):
        self.assertIsNone(self.choose(_make_engines(2, 7)))

    def test_changes_under_way_count_as_done(self):
        engines = _make_engines(4, 5)
        changing = {item: membership.Role.DECODE for item in engines[:2]}
        self.assertIsNone(self.choose(engines, changing))

    def test_lost_prefill_engine_is_replaced_where_enough_decode(self):
        order = self.choose(_make_engines(0, 6))
        self.assertIs(order.role, membership.Role.PREFILL)
        self.assertIsNone(self.choose(_make_engines(0, 3)))

    def test_engine_with_the_least_work_changes(self):
        engines = _make_engines(3, 2)
        for engine in engines[:2]:
            engine.prefill_tokens = 5000
        engines[2].record = testing.make_endpoint_record(
            "prefill2", role=membership.Role.PREFILL, zone="z0"
        )
        self.assertIs(self.choose(engines).engine, engines[2])

    def test_the_only_engine_stays_as_it_is(self):
        self.assertIsNone(self.choose(_make_engines(0, 1)))
