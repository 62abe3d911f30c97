"""What a request's workspace decides before any endpoint is asked."""

import dataclasses
import random
import unittest

from twisted.internet import defer
from twisted.internet import task as tasks

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import forwarding
from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import routes
from sassafrasstile import telemetry
from sassafrasstile import testing
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _admission
from sassafrasstile.forwarding import _task

_ROUTE_PRIORITY = 3


def _make_access(name, priority=None):
    workspace = workspaces.Workspace(name=name, priority=priority)
    return workspaces.Access(
        workspace=workspace, key=f"k-{name}", hides_credentials=True
    )


def _make_task(access, *, kind=routes.RouteKind.GENERATION, caller=""):
    route = testing.make_route(kind)
    return _task.RequestTask(
        request=web.CallerRequest(
            method=b"POST",
            target=b"/",
            headers=(),
            body=b"x",
            received_at=0.0,
        ),
        details=forwarding.RequestDetails(
            request_id="r1",
            host="a.example",
            timeout_s=None,
            prompt_tokens=1,
            output_tokens=1,
            last_event_id=None,
            prompt_parts=("system", "turn"),
            caller=caller,
        ),
        route=dataclasses.replace(route, priority=_ROUTE_PRIORITY),
        service=routes.Service(name="s"),
        size=dispatch.WorkSize(prompt_tokens=1, output_tokens=1),
        exchange=None,
        deadline=1.0,
        caller_deadline=1.0,
        arrived_at=0.0,
        access=access,
    )


class RequestTaskTest(unittest.TestCase):
    """The priority of a request, and what is remembered of it."""

    def test_priority_of_the_workspace_goes_before_that_of_the_route(self):
        for access, expected in (
            (_make_access("one", 0), 0),
            (_make_access("one", 7), 7),
            (_make_access("one"), _ROUTE_PRIORITY),
            (workspaces.OUTSIDE, _ROUTE_PRIORITY),
            (workspaces.ANONYMOUS, _ROUTE_PRIORITY),
        ):
            self.assertEqual(_make_task(access).priority, expected)

    def test_same_prompt_of_two_workspaces_has_nothing_in_common(self):
        one, again, two, none = (
            _make_task(access)
            for access in (
                _make_access("one"),
                _make_access("one"),
                _make_access("two"),
                workspaces.OUTSIDE,
            )
        )
        self.assertEqual(one.content, again.content)
        self.assertEqual(one.prompt_id, again.prompt_id)
        for other in (two, none):
            self.assertNotEqual(one.content.identity, other.content.identity)
            self.assertFalse(one.content.shared & other.content.shared)
            self.assertNotEqual(one.prompt_id, other.prompt_id)

    # Two keys of a workspace bring the same call.
    def test_call_belongs_to_its_workspace_and_not_to_its_key(self):
        kind = routes.RouteKind.IDEMPOTENT_CALL
        one, again, two = (
            _make_task(access, kind=kind, caller=caller).content
            for access, caller in (
                (_make_access("one"), "Token a"),
                (_make_access("one"), "Token b"),
                (_make_access("two"), "Token a"),
            )
        )
        self.assertEqual(one, again)
        self.assertNotEqual(one, two)

    def test_without_workspaces_names_stay_what_they_were(self):
        task = _make_task(workspaces.ANONYMOUS, caller="Basic a")
        self.assertEqual(task.prompt_id, "turn")
        self.assertEqual(
            task.content, quarantine.make_prompt("s", ("system", "turn"))
        )
        call = _make_task(
            workspaces.ANONYMOUS,
            kind=routes.RouteKind.IDEMPOTENT_CALL,
            caller="Basic a",
        )
        self.assertEqual(
            call.content,
            quarantine.make_call(
                "s",
                method=b"POST",
                host="a.example",
                target=b"/",
                caller="Basic a",
                body=b"x",
            ),
        )

    def test_key_is_in_no_text(self):
        task = _make_task(_make_access("one"), caller="Token k-one")
        self.assertNotIn("k-one", repr(task))


class QueueTest(unittest.TestCase):
    """Keys are withdrawn while an engine is full and generations wait.

    The pattern of load: the only engine has no slot left.
    """

    def setUp(self):
        self.clock = tasks.Clock()
        self.configuration = routes.ActiveConfiguration()
        endpoints = dispatch.EndpointTable(silence_timeout_s=1.0)
        endpoints.update_record(
            "d0", testing.make_endpoint_record("d0", service="s", slots=1)
        )
        (self.engine,) = endpoints.list_all()
        self.context = forwarding.ForwardingContext(
            reactor=self.clock,
            codec=None,
            active_configuration=self.configuration,
            endpoints=endpoints,
            placement=dispatch.Placement(
                endpoints=endpoints, zone="a", generator=random.Random(1)
            ),
            settings=dispatch.DispatchSettings(),
            metrics=telemetry.RouterMetrics(),
            generator=random.Random(1),
            quarantine=quarantine.Quarantine(
                reactor=self.clock, generator=random.Random(1)
            ),
            permits=permits.SharedRateLimiter(reactor=self.clock, name="g1"),
            access=workspaces.AccessChecker(
                read_directory=lambda: self.configuration.directory
            ),
        )
        self.admission = _admission.AdmissionController(context=self.context)
        self.configure("one", "two")

    def configure(self, *names):
        """Puts a configuration with one key a workspace into force."""
        self.configuration.apply_if_newer(
            routes.Configuration(
                version=(self.configuration.version or 0) + 1,
                routes=(),
                services={},
                workspaces=tuple(
                    workspaces.Workspace(
                        name=name, keys=frozenset([f"k-{name}"])
                    )
                    for name in names
                ),
            )
        )
        self.admission.refuse_denied()

    def wait(self, access, *, has_run=False):
        """Returns the results of a request that waits, and the request."""
        task = _make_task(access)
        task.service = routes.Service(
            name="s",
            engine=routes.EngineProfile(
                slots=1,
                capacity_tokens=100,
                tokens_per_event=1,
                handle_ttl_s=0.5,
            ),
        )
        if has_run:
            task.may_have_run.append(object())
        results = []
        waiting = defer.ensureDeferred(self.admission.acquire(task))
        waiting.addCallback(results.append)
        return task, results

    def test_only_what_the_configuration_denies_is_refused(self):
        first, granted = self.wait(_make_access("two"))
        waiting = [
            self.wait(_make_access("one")),
            # It was sent before, and may have run.
            self.wait(_make_access("one"), has_run=True),
            self.wait(_make_access("two")),
        ]
        self.assertEqual(self.admission.queued, len(waiting))
        self.configure("two")
        outcomes = [results for _task_, results in waiting]
        self.assertEqual(outcomes, [[None], [None], []])
        self.assertEqual(self.admission.queued, 1)
        code = waiting[0][0].denial.code
        statuses = [
            type(task.decide_verdict(code)).__name__ for task, _ in waiting[:2]
        ]
        self.assertEqual(statuses, ["NotRun", "MayHaveRun"])
        self.assertEqual(code, errors.Code.KEY_WITHDRAWN)
        # Its capacity goes to the one that is left.
        self.admission.release(granted[0])
        self.assertEqual(len(waiting[2][1]), 1)
        self.assertIsNone(first.denial)
