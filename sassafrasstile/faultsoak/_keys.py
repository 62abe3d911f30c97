"""Callers with keys of workspaces, and keys that are withdrawn."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import random

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _proxy

SERVICE = "keyed"
PATH = "/keyed/"
# The bound that the gateways' settings state.
REVOKE_S = 2.5
BOUNDS = {"revokeFailClosed": True, "revokeMs": REVOKE_S * 1000}
# Time that a request may take from a gateway's check to the endpoint.
_ARRIVAL_MARGIN_S = 0.5
_WORKSPACES = ("one", "two", "three")
_FOREIGN_KEY = "k-foreign"
_CHANGE_INTERVAL_S = 1.5
_CUT_S = 4 * REVOKE_S
_BETWEEN_CUTS_S = 3.0
# More than the only engine takes, so that requests wait for seconds.
_REQUESTS_PER_S = 6.0
_SLOTS = 1
_EVENTS = 4
_EVENT_GAP_S = 0.1
_DEADLINE_S = 16.0
_TARGET_S = 8.0
_UNAUTHORIZED = 401


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request with a key.

    Attributes:
        key: The key.
        gateway: The gateway that it was sent to.
        status: The status of its answer, or zero without one.
    """

    key: str
    gateway: str
    status: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached the engine, and what it was shown.

    Attributes:
        request_id: The request's id.
        at: When it arrived, in seconds.
        workspace: The name that it was shown.
        shows_key: True if it was shown a key.
    """

    request_id: str
    at: float
    workspace: str
    shows_key: bool = False


class KeyCallers:
    """Sends requests with keys while keys are withdrawn.

    Each workspace has a key that is never withdrawn, and one that a new
    configuration replaces from time to time.

    Args:
        reactor: The reactor.
        gateways: The gateways to send requests to.
        proxies: The links of gateways to the store, cut for longer than the
            bound one after the other.
        publish: Publishes the next version of the configuration.
        seed: The seed of all random numbers.
    """

    def __init__(
        self,
        *,
        reactor,
        gateways: list[_gateways.GatewayProcess],
        proxies: Callable[[], list[_proxy.FaultProxy]],
        publish: Callable[[], None],
        seed: int,
    ):
        self._reactor = reactor
        self._gateways = gateways
        self._list_proxies = proxies
        self._publish = publish
        # The other faults of a seed don't depend on these requests.
        self._generator = random.Random(f"keys {seed}")
        self._fault_generator = random.Random(f"key faults {seed}")
        self._numbers = dict.fromkeys(_WORKSPACES, 0)
        self._engine = standins.PlatformEndpoint(
            reactor=reactor, script=self._answer
        )
        self.requests: dict[str, Request] = {}
        self.arrivals: list[Arrival] = []
        # When each key was withdrawn, in seconds.
        self.withdrawn_at: dict[str, float] = {}
        self.cuts = 0

    def start(self, server: standins.PlatformStoreServer) -> None:
        """Starts the engine and writes its record."""
        self._engine.start()
        document = testing.make_endpoint_document(
            port=self._engine.port,
            service=SERVICE,
            stage="decode",
            slots=_SLOTS,
        )
        server.store.put_json("keyed.servers", "k0", document)

    def close(self) -> defer.Deferred:
        """Stops the engine."""
        return defer.maybeDeferred(self._engine.close)

    def make_route(self) -> dict:
        """Returns the only route that needs a key."""
        return testing.make_platform_route(
            PATH,
            SERVICE,
            "streaming",
            targetGapMs=1000,
            targetLatencyMs=int(_TARGET_S * 1000),
            timeoutMs=int(_DEADLINE_S * 1000),
        )

    def make_workspaces(self) -> list[dict]:
        """Returns the workspaces with the keys that are valid now."""
        return [
            testing.make_workspace_document(
                name, _make_permanent_key(name), self._make_key(name)
            )
            for name in _WORKSPACES
        ]

    def _make_key(self, workspace: str) -> str:
        return f"k-{workspace}-{self._numbers[workspace]}"

    def _answer(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        if request.target == "/sassafrasstile/hold-take":
            return standins.make_hold(request, "m")
        if request.target != PATH:
            return standins.make_answer(request, signed=False)
        shown = repr(request.headers)
        self.arrivals.append(
            Arrival(
                request_id=request.request_id,
                at=self._reactor.seconds(),
                workspace=request.headers.get("x-tenant", ""),
                shows_key="k-" in shown or "authorization" in request.headers,
            )
        )
        return standins.make_stream(request, count=_EVENTS, gap_s=_EVENT_GAP_S)

    # Faults.

    async def withdraw(self, until: float) -> None:
        """Replaces keys until a time."""
        while self._reactor.seconds() < until:
            await self._sleep(_CHANGE_INTERVAL_S)
            workspace = self._fault_generator.choice(_WORKSPACES)
            former = self._make_key(workspace)
            self._numbers[workspace] += 1
            self._publish()
            self.withdrawn_at[former] = self._reactor.seconds()

    def delay_withdrawals(self, since: float) -> None:
        """Counts withdrawals from now on; the store had lost them.

        Args:
            since: The time of the first that was lost, in seconds.
        """
        for key, at in self.withdrawn_at.items():
            if at >= since:
                self.withdrawn_at[key] = self._reactor.seconds()

    async def cut_off(self, until: float) -> None:
        """Cuts gateways off from the store until a time, one at a time."""
        while self._reactor.seconds() < until - _CUT_S:
            proxy = self._fault_generator.choice(self._list_proxies())
            self.cuts += 1
            proxy.is_silent = True
            await self._sleep(_CUT_S)
            proxy.is_silent = False
            proxy.reset()
            await self._sleep(_BETWEEN_CUTS_S)

    # Callers.

    async def run(self, ends_at: float) -> None:
        """Sends requests at random intervals, and waits for their ends."""
        running = []
        while self._reactor.seconds() < ends_at:
            running.append(testing.spawn(self._send(f"k{len(running)}")))
            await self._sleep(self._generator.expovariate(_REQUESTS_PER_S))
        await defer.gatherResults(running, consumeErrors=False)

    def _choose_key(self) -> str:
        workspace = self._generator.choice(_WORKSPACES)
        kind = self._generator.random()
        if kind < 0.5:
            return self._make_key(workspace)
        if kind < 0.7:
            return _make_permanent_key(workspace)
        return self._generator.choice([_FOREIGN_KEY, *self.withdrawn_at])

    async def _send(self, request_id: str) -> None:
        key = self._choose_key()
        gateway = self._generator.choice(self._gateways)
        try:
            caller = await testing.connect(
                self._reactor, gateway.port, timeout_s=1.0
            )
        except error.ConnectError:
            return
        request = Request(key=key, gateway=gateway.name)
        self.requests[request_id] = request
        caller.send(
            testing.make_request(
                PATH,
                request_id=request_id,
                deadline_ms=int(_DEADLINE_S * 1000),
                headers=(
                    "X-Token-Count: 100,50",
                    f"Authorization: Token {key}",
                    "X-Tenant: one",
                ),
            )
        )
        answer = await caller.read_within(2 * _DEADLINE_S)
        request.status = answer.status

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    # Checks.

    def count(self) -> dict[str, int]:
        """Returns how often requests ended with each status, and cuts."""
        statuses = collections.Counter(
            str(item.status) for item in self.requests.values()
        )
        return {**statuses, "cuts": self.cuts}

    def check(self) -> list[str]:
        """Returns the violations, one sentence each."""
        violations = [
            sentence
            for arrival in self.arrivals
            for sentence in self._check_arrival(arrival)
        ]
        permanent = [
            (request_id, item)
            for request_id, item in self.requests.items()
            if item.key in map(_make_permanent_key, _WORKSPACES)
        ]
        violations.extend(
            f"{request_id}: status 401 from {item.gateway} for a valid key"
            for request_id, item in permanent
            if item.status == _UNAUTHORIZED
        )
        statuses = {item.status for item in self.requests.values()}
        if statuses and 200 not in statuses:
            violations.append("no request with a key was answered")
        return violations

    def _check_arrival(self, arrival: Arrival) -> list[str]:
        request = self.requests[arrival.request_id]
        violations = []
        if arrival.shows_key:
            violations.append(f"{arrival.request_id}: the engine saw a key")
        if arrival.workspace != _get_workspace(request.key):
            violations.append(
                f"{arrival.request_id}: ran for {arrival.workspace!r}"
            )
        withdrawn_at = self.withdrawn_at.get(request.key, float("inf"))
        late_s = arrival.at - withdrawn_at - REVOKE_S
        if late_s > _ARRIVAL_MARGIN_S:
            violations.append(
                f"{arrival.request_id}: arrived by {request.gateway} "
                f"{late_s:.1f} s later than a withdrawn key may be used"
            )
        return violations


@functools.cache
def _make_permanent_key(workspace: str) -> str:
    return f"k-{workspace}-permanent"


def _get_workspace(key: str) -> str:
    """Returns the name of the workspace that has held a key, if any."""
    name = key.split("-")[1]
    return name if name in _WORKSPACES else "nobody"
