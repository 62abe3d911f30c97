"""Engines that fall silent for about a second and then go on."""

import dataclasses
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _callers
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _proxy

# The route of the engines of the other callers, and that of a single engine,
# whose streams can't go on elsewhere. Streams of both may be resumed.
SHARED_PATH = "/tell/"
SINGLE_PATH = "/lone/"
SINGLE_SERVICE = "lone"
_STREAMS_PER_GATEWAY = 2
# Callers wait longer than this for the next event.
_MIN_SILENCE_S = 0.9
_MAX_SILENCE_S = 1.6
# This share of the events of the single engine comes after a silence.
_SILENT_SHARE = 0.6
_INTERVAL_S = 3.0
_DEADLINE_MS = 20000
_HOLD_TARGET = "/sassafrasstile/hold-take"


class SilentEngines:
    """Silences engines, and checks streams that are otherwise undisturbed.

    Args:
        reactor: The reactor.
        gateways: The gateways to send requests to.
        proxies: The proxies in front of the decode engines.
        seed: The seed of all random numbers.

    Attributes:
        checked: How many streams had begun when their engine fell silent.
        violations: The violated guarantees, one sentence each.
    """

    def __init__(
        self,
        *,
        reactor,
        gateways: list[_gateways.GatewayProcess],
        proxies: list[_proxy.FaultProxy],
        seed: int,
    ):
        self._reactor = reactor
        self._gateways = gateways
        self._proxies = proxies
        # The other faults of a seed don't depend on these ones.
        self._generator = random.Random(f"silences {seed}")
        self._engine = standins.PlatformEndpoint(
            reactor=reactor, script=self._answer
        )
        self.checked = 0
        self.violations: list[str] = []

    def start(self, server: standins.PlatformStoreServer) -> None:
        """Starts the single engine and writes its record."""
        self._engine.start()
        document = testing.make_endpoint_document(
            port=self._engine.port, service=SINGLE_SERVICE, stage="decode"
        )
        server.store.put_json("keyed.servers", "lone0", document)

    async def close(self) -> None:
        """Stops the single engine."""
        await defer.maybeDeferred(self._engine.close)

    def _answer(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        """Answers with a stream that falls silent now and then."""
        if request.target == _HOLD_TARGET:
            return standins.make_hold(request, "m")
        if request.target != SINGLE_PATH:
            return standins.make_answer(request, signed=False)
        first = int(request.headers.get("last-event-id", 0)) + 1
        answer = standins.make_stream(
            request, first=first, count=9 - first, gap_s=0.05
        )
        segments = [self._delay(segment) for segment in answer.segments]
        return dataclasses.replace(answer, segments=segments)

    def _delay(self, segment: standins.Segment) -> standins.Segment:
        if not segment.after_s or self._generator.random() > _SILENT_SHARE:
            return segment
        return dataclasses.replace(segment, after_s=self._choose_silence())

    def _choose_silence(self) -> float:
        return self._generator.uniform(_MIN_SILENCE_S, _MAX_SILENCE_S)

    async def check(self) -> None:
        """Checks that begun streams come whole, without any other fault."""
        callers = await self._begin_all([SINGLE_PATH])
        for caller in callers.values():
            await caller.read_until(b"token 1")
        shared = await self._begin_all(["/gen/", SHARED_PATH])
        callers.update(shared)
        # The last stream has just begun, and others may have ended.
        await list(shared.values())[-1].read_until(b"token 2")
        begun = {
            name: caller
            for name, caller in callers.items()
            if caller.is_open and b"data:" in caller.data
        }
        self.checked += len(begun)
        chosen = self._generator.choice((1, len(self._proxies)))
        await self._silence(self._generator.sample(self._proxies, chosen))
        for name, caller in callers.items():
            answer = await caller.read_within(_DEADLINE_MS / 1000)
            if name in begun and not _is_whole(answer):
                self.violations.append(
                    f"{name}: cut by a silence of its engine: {answer.data!r}"
                )

    async def run(self, ends_at: float) -> None:
        """Silences one engine after another while other faults happen."""
        while self._reactor.seconds() + _INTERVAL_S < ends_at:
            await self._sleep(_INTERVAL_S * self._generator.random())
            await self._silence([self._generator.choice(self._proxies)])

    async def _silence(self, proxies: list[_proxy.FaultProxy]) -> None:
        for proxy in proxies:
            proxy.hold()
        await self._sleep(self._choose_silence())
        for proxy in proxies:
            proxy.release()

    async def _begin_all(self, paths: list[str]) -> dict[str, testing.Caller]:
        """Begins streams at every gateway and returns them by name."""
        return {
            f"{gateway.name}-{number}{path}": await self._begin(
                f"{gateway.name}-{number}{path}", path, gateway
            )
            for path in paths
            for gateway in self._gateways
            for number in range(_STREAMS_PER_GATEWAY)
        }

    async def _begin(
        self, name: str, path: str, gateway: _gateways.GatewayProcess
    ) -> testing.Caller:
        caller = await testing.connect(self._reactor, gateway.port)
        caller.send(
            testing.make_request(
                path,
                request_id=name,
                deadline_ms=_DEADLINE_MS,
                headers=("X-Token-Count: 100,50",),
            )
        )
        return caller

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)


def _is_whole(answer: testing.RawAnswer) -> bool:
    """Returns whether an answer is complete and has each event once."""
    return (
        answer.status == 200
        and answer.is_complete_stream
        and _callers.list_events(answer) == _callers.EVENTS
    )
