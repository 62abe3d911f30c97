"""What a gateway's admission tells other gateways, callers and operators."""

import random
import unittest
from unittest import mock

from twisted.internet import defer
from twisted.internet import task as tasks

from sassafrasstile import dispatch
from sassafrasstile import forwarding
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import routes
from sassafrasstile import telemetry
from sassafrasstile import testing
from sassafrasstile import workspaces

_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=8, capacity_tokens=10_000, tokens_per_event=1, handle_ttl_s=0.5
    ),
)


def _make_route(priority):
    return routes.Route(
        name=f"r{priority}",
        host="h",
        prefix=f"/{priority}/",
        kind=routes.RouteKind.GENERATION,
        services=(routes.WeightedService(service="engine"),),
        timeout_s=10.0,
        target_s=1.0,
        priority=priority,
    )


class AdmissionTest(unittest.TestCase):
    """One gateway whose only decode engine has room for two generations."""

    def setUp(self):
        self.clock = tasks.Clock()
        table = dispatch.EndpointTable(silence_timeout_s=100.0)
        for name, role in (
            ("d1", membership.Role.DECODE),
            ("p1", membership.Role.PREFILL),
        ):
            table.update_record(
                name, testing.make_endpoint_record(name, role=role)
            )
        self.active = routes.ActiveConfiguration()
        self.context = forwarding.ForwardingContext(
            reactor=self.clock,
            codec=None,
            active_configuration=self.active,
            endpoints=table,
            placement=dispatch.Placement(
                endpoints=table, zone="a", generator=random.Random(1)
            ),
            settings=dispatch.DispatchSettings(),
            metrics=telemetry.RouterMetrics(),
            generator=random.Random(1),
            quarantine=mock.Mock(find=lambda _content: None),
            permits=None,
        )
        self.admission = forwarding.AdmissionController(context=self.context)

    def configure(self, *priorities):
        self.active.apply_if_newer(
            routes.Configuration(
                version=1,
                routes=tuple(map(_make_route, priorities)),
                services={},
            )
        )

    def ask(self, priority, workspace=None):
        task = mock.Mock(
            spec=forwarding.RequestTask,
            route=_make_route(priority),
            service=_SERVICE,
            size=dispatch.WorkSize(prompt_tokens=4000, output_tokens=500),
            access=workspaces.Access(workspace=workspace),
            workspace_name=workspace.name if workspace else "",
            arrived_at=0.0,
            may_have_run=[],
            software_version=None,
            request_id="q",
            content=None,
            rank=priority,
            rank_name=f"0.{priority}",
            request=mock.Mock(received_at=0.0),
        )
        return task, defer.ensureDeferred(self.admission.acquire(task))

    def read_metric(self, name, **labels):
        registry = self.context.metrics.registry
        return registry.get_sample_value(f"sassafrasstile_{name}", labels)

    def test_nothing_is_told_where_all_have_one_rank(self):
        self.configure(1, 1)
        for _ in range(3):
            self.ask(1)
        report = self.admission.make_report(is_complete=True)
        self.assertTrue(report.is_empty)

    def test_what_waits_is_told_with_its_rank(self):
        self.configure(0, 2)
        for priority in (0, 0, 2, 0):
            self.ask(priority)
        report = self.admission.make_report(is_complete=True)
        self.assertEqual([item.priority for item in report.waiting], [0, 2])
        self.assertEqual(report.admissions[0].generations, 2)
        brief = self.admission.make_report(is_complete=False)
        self.assertEqual(brief.admissions, ())

    def test_retry_after_follows_the_drain_of_the_rank(self):
        """Load: many urgent requests wait at another gateway."""
        self.configure(0, 2)
        least, _ = self.ask(2)
        self.assertEqual(self.admission.estimate_retry_s(least), 0.0)
        waiting = peers.WaitingGeneration(
            service="engine",
            urgency=2,
            priority=1,
            is_crowding=False,
            remaining_s=0.9,
        )
        report = peers.QueueReport(waiting=(waiting,) * 6)
        self.admission.apply_report("g2", report)
        self.assertEqual(self.admission.estimate_retry_s(least), 2.0)

    def test_retry_after_is_as_ever_where_all_have_one_rank(self):
        self.configure(1)
        asked = [self.ask(1)[0] for _ in range(8)]
        self.assertEqual(self.admission.estimate_retry_s(asked[-1]), 0.0)

    def test_decisions_are_logged_and_counted_by_rank(self):
        self.configure(0, 2)
        workspace = workspaces.Workspace(name="w")
        with self.assertLogs("sassafrasstile.forwarding", "INFO") as logs:
            for _ in range(2):
                self.ask(0, workspace)
            self.ask(2)
            self.assertEqual(
                self.read_metric("generations_waiting", rank="0.2"), 1.0
            )
            self.clock.advance(2.1)
            self.admission.admit()
        record = logs.records[-1]
        self.assertEqual((record.rank, record.workspace), ("0.2", ""))
        self.assertEqual((record.places, record.ahead_elsewhere), (0, 0))
        for rank, outcome, count in (
            ("0.0", "admitted", 2.0),
            ("0.2", "refused", 1.0),
        ):
            counted = self.read_metric(
                "admissions_total", rank=rank, outcome=outcome
            )
            self.assertEqual(counted, count)
        tokens = self.read_metric("admitted_tokens_total", workspace="w")
        self.assertEqual(tokens, 9000.0)
