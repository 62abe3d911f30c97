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
    """The choice of the engine that should change its role."""

    def choose(self, engines, pending_roles=None):
        return roles.choose_order(
            engines, pending_roles=pending_roles or {}, prefill_share=0.2
        )

    def test_surplus_prefill_engine_becomes_decode_engine(self):
        order = self.choose(_make_engines(4, 5))
        self.assertIs(order.role, membership.Role.DECODE)
        self.assertIs(order.engine.record.role, membership.Role.PREFILL)

    def test_no_order_when_the_share_is_as_wanted(self):
        self.assertIsNone(self.choose(_make_engines(2, 7)))

    def test_pending_changes_count_as_done(self):
        engines = _make_engines(4, 5)
        pending_roles = {item: membership.Role.DECODE for item in engines[:2]}
        self.assertIsNone(self.choose(engines, pending_roles))

    def test_lost_prefill_engine_is_replaced_if_enough_engines_decode(self):
        order = self.choose(_make_engines(0, 6))
        self.assertIs(order.role, membership.Role.PREFILL)
        self.assertIsNone(self.choose(_make_engines(0, 3)))

    def test_least_loaded_engine_changes(self):
        engines = _make_engines(3, 2)
        for engine in engines[:2]:
            engine.prefill_tokens = 5000
        engines[2].record = testing.make_endpoint_record(
            "prefill2", role=membership.Role.PREFILL, zone="z0"
        )
        self.assertIs(self.choose(engines).engine, engines[2])

    def test_only_engine_keeps_its_role(self):
        self.assertIsNone(self.choose(_make_engines(0, 1)))

    def make_versions(self, *groups):
        """Returns engines of (version, role, count)."""
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for version, role, count in groups:
            for number in range(count):
                name = f"{version}-{role.value}{number}"
                record = testing.make_endpoint_record(
                    name, role=role, software_version=version
                )
                table.update_record(name, record)
        return table.list_all()

    # Guards against a role change that leaves the streams of a version without
    # an engine to go on at.
    def test_version_keeps_its_last_decode_engines(self):
        decode = membership.Role.DECODE
        engines = self.make_versions(("v1", decode, 2), ("v2", decode, 4))
        for engine in engines:
            if engine.record.software_version == "v2":
                engine.reserved_tokens = 5000
        order = self.choose(engines)
        self.assertEqual(order.engine.record.software_version, "v2")
        few = self.make_versions(
            ("v1", decode, 2), ("v2", decode, 2), ("v3", decode, 2)
        )
        self.assertIsNone(self.choose(few))

    # Guards against a version whose prompts no engine may prefill.
    def test_version_without_a_prefill_engine_gets_one_first(self):
        decode, prefill = membership.Role.DECODE, membership.Role.PREFILL
        engines = self.make_versions(
            ("v1", prefill, 1), ("v1", decode, 4), ("v2", decode, 5)
        )
        for engine in engines:
            if engine.record.software_version == "v2":
                engine.reserved_tokens = 5000
        order = self.choose(engines)
        self.assertEqual(order.engine.record.software_version, "v2")

    # Guards against prefill engines that no decode engine can use.
    def test_surplus_is_taken_from_the_version_with_fewest_decode_engines(self):
        decode, prefill = membership.Role.DECODE, membership.Role.PREFILL
        engines = self.make_versions(
            ("v1", prefill, 2), ("v2", prefill, 1), ("v2", decode, 5)
        )
        for engine in engines:
            if engine.record.software_version == "v1":
                engine.prefill_tokens = 5000
        order = self.choose(engines)
        self.assertIs(order.role, decode)
        self.assertEqual(order.engine.record.software_version, "v1")
