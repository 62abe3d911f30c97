"""Endpoints that name the rate that they take, and callers that want more."""

import dataclasses
import random

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _notice_log

SERVICE = "needy"
PATH = "/needy/"
_ENDPOINTS = 2
_RATE_PER_S = 1.4
_CALLS_PER_S = 14.0
_DEADLINE_S = 1.5
# The users' rule, for the largest `stableWindowMs` of their sites.
_STABLE_WINDOW_S = 5.0
_WINDOW_S = 4.0
_ALLOWED = 1.5 * _RATE_PER_S * _WINDOW_S + 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that arrived at an endpoint from a gateway, in seconds."""

    endpoint: str
    gateway: str
    at: float


class StatedRates:
    """Sends calls to endpoints that take few, through all gateways.

    Args:
        reactor: The reactor.
        gateways: The gateways to send calls to.
        notices: The log of the gateways' disturbances.
        seed: The seed of all random numbers.
    """

    def __init__(
        self,
        *,
        reactor,
        gateways: list[_gateways.GatewayProcess],
        notices: _notice_log.NoticeLog,
        seed: int,
    ):
        self._reactor = reactor
        self._gateways = gateways
        self._notices = notices
        # The other faults of a seed don't depend on these calls.
        self._generator = random.Random(f"stated rates {seed}")
        self._endpoints: list[standins.PlatformEndpoint] = []
        self._senders: dict[str, str] = {}
        self.arrivals: list[Arrival] = []

    def start(self, server: standins.PlatformStoreServer) -> None:
        """Starts the endpoints and writes their records."""
        for number in range(_ENDPOINTS):
            name = f"n{number}"
            endpoint = standins.PlatformEndpoint(
                reactor=self._reactor,
                script=lambda request, name=name: self._answer(name, request),
            )
            endpoint.start()
            self._endpoints.append(endpoint)
            document = testing.make_endpoint_document(
                port=endpoint.port, service=SERVICE
            )
            server.store.put_json("keyed.servers", name, document)

    async def close(self) -> None:
        """Stops the endpoints."""
        for endpoint in self._endpoints:
            await defer.maybeDeferred(endpoint.close)

    def _answer(
        self, name: str, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        # Probes have no caller.
        gateway = self._senders.get(request.request_id, "")
        self.arrivals.append(
            Arrival(endpoint=name, gateway=gateway, at=self._reactor.seconds())
        )
        answer = standins.make_answer(request, after_s=0.05)
        return standins.state_rate(answer, str(_RATE_PER_S))

    async def run(self, ends_at: float) -> None:
        """Sends calls at random intervals, and waits for their ends."""
        running = []
        while self._reactor.seconds() < ends_at:
            running.append(testing.spawn(self._send(f"n{len(running)}")))
            interval_s = self._generator.expovariate(_CALLS_PER_S)
            await task.deferLater(self._reactor, interval_s)
        await defer.gatherResults(running, consumeErrors=False)

    async def _send(self, request_id: str) -> None:
        gateway = self._generator.choice(self._gateways)
        self._senders[request_id] = gateway.name
        try:
            caller = await testing.connect(
                self._reactor, gateway.port, timeout_s=1.0
            )
        except error.ConnectError:
            return
        caller.send(
            testing.make_request(
                PATH + request_id,
                request_id=request_id,
                deadline_ms=int(_DEADLINE_S * 1000),
            )
        )
        await caller.read_within(2 * _DEADLINE_S)

    def check(self) -> list[str]:
        """Returns the violations, one sentence each."""
        violations = []
        for endpoint in sorted({item.endpoint for item in self.arrivals}):
            times = [
                item.at for item in self.arrivals if item.endpoint == endpoint
            ]
            counted = [
                item.at
                for item in self.arrivals
                if item.endpoint == endpoint
                and item.at > times[0] + _STABLE_WINDOW_S
                and self._is_in_touch(item)
            ]
            most = max(
                (
                    sum(begin <= at < begin + _WINDOW_S for at in counted)
                    for begin in counted
                ),
                default=0,
            )
            if most > _ALLOWED:
                violations.append(
                    f"{endpoint}: got {most} requests in {_WINDOW_S} s; "
                    f"allowed are {_ALLOWED:.1f}"
                )
        return violations

    def _is_in_touch(self, item: Arrival) -> bool:
        return not self._notices.has_disturbance(
            [item.gateway], item.at - _STABLE_WINDOW_S, item.at
        )
