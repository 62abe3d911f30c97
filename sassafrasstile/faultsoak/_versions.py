"""Engines of two software versions, and callers that take streams up again."""

import collections
import random

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways

SERVICE = "teller"
PATH = "/tale/"
_ENGINES = {"t0": "v1", "t1": "v1", "t2": "v2", "t3": "v2"}
_HOLD_TARGET = "/sassafrasstile/hold-take"
_EVENTS = 12
_EVENT_GAP_S = 0.08
_STREAMS_PER_S = 8.0
# Engines break this share of the streams off.
_BREAK_SHARE = 0.2
# Callers leave this share of the streams, within this time.
_LEAVE_SHARE = 0.4
_MAX_STAY_S = 0.8
# Callers come back for this long.
_DEADLINE_S = 6.0
_RETURN_DELAY_S = 0.15
# Every second caller doesn't name the attempt that began its stream.
_UNNAMED_INTERVAL = 2
# Every fifth stream has the prompt of the one before it, like a session's next
# request.
_SESSION_INTERVAL = 5


class VersionedEngine:
    """A decode engine that names its version in each event.

    Args:
        reactor: The reactor.
        version: The version of its software.
        generator: The random number generator.
    """

    def __init__(self, *, reactor, version: str, generator: random.Random):
        self.version = version
        self._generator = generator
        self.server = standins.PlatformEndpoint(
            reactor=reactor, script=self._answer
        )

    def _answer(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        if request.target == _HOLD_TARGET:
            return standins.make_hold(request, "m")
        if not request.target.startswith(PATH):
            return standins.make_answer(request, signed=False)
        first = int(request.headers.get("last-event-id", 0)) + 1
        count = _EVENTS + 1 - first
        end = "whole"
        if self._generator.random() < _BREAK_SHARE:
            count = self._generator.randrange(count + 1)
            end = "reset"
        return standins.make_stream(
            request,
            first=first,
            count=count,
            gap_s=_EVENT_GAP_S,
            end=end,
            text=self.version,
        )


class _Stream:
    """What a caller has of one stream, over all its attempts.

    Args:
        number: The stream's number.
    """

    def __init__(self, *, number: int):
        self.names_origin = number % _UNNAMED_INTERVAL != 0
        self.prompt_id = number - (number % _SESSION_INTERVAL == 0)
        self.origin: str | None = None
        self.events: list[tuple[int, str]] = []
        self.is_complete = False

    @property
    def last_event_id(self) -> int:
        return self.events[-1][0] if self.events else 0

    @property
    def versions(self) -> set[str]:
        return {version for _, version in self.events}

    def add(self, request_id: str, answer: testing.RawAnswer) -> None:
        """Adds the events of an attempt's answer."""
        if answer.status != 200:
            return
        number = None
        for line in answer.body.decode("latin-1").splitlines():
            name, _, value = line.partition(": ")
            if name == "id" and value.isdigit():
                number = int(value)
            elif name == "data" and number is not None:
                self.events.append((number, value.partition(" ")[0]))
                self.origin = self.origin or request_id
                number = None
        # A caller that has all events doesn't come back for the end alone.
        has_all = self.last_event_id == _EVENTS
        self.is_complete = answer.is_complete_stream or has_all


class ReturningCallers:
    """Callers that leave, and take their streams up again at any gateway.

    Args:
        reactor: The reactor.
        gateways: The gateways to send requests to.
        seed: The seed of all random numbers.

    Attributes:
        counts: How often streams began, went on and were refused.
        violations: The violated guarantees, one sentence each.
    """

    def __init__(
        self,
        *,
        reactor,
        gateways: list[_gateways.GatewayProcess],
        seed: int,
    ):
        self._reactor = reactor
        self._gateways = gateways
        # The faults of a seed don't depend on these callers.
        self._generator = random.Random(f"versions {seed}")
        self._running: list[defer.Deferred] = []
        self.engines = {
            name: VersionedEngine(
                reactor=reactor, version=version, generator=self._generator
            )
            for name, version in _ENGINES.items()
        }
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []

    def start(self, server: standins.PlatformStoreServer) -> None:
        """Starts the engines and writes their records."""
        for name, engine in self.engines.items():
            engine.server.start()
            document = testing.make_endpoint_document(
                port=engine.server.port,
                service=SERVICE,
                stage="decode",
                version=engine.version,
            )
            server.store.put_json("keyed.servers", name, document)

    async def run(self, ends_at: float) -> None:
        """Begins streams at random intervals, and waits for their ends."""
        number = 0
        while self._reactor.seconds() < ends_at:
            number += 1
            self._running.append(testing.spawn(self._follow(number)))
            interval_s = self._generator.expovariate(_STREAMS_PER_S)
            await self._sleep(interval_s)
        await defer.gatherResults(self._running, consumeErrors=False)

    async def close(self) -> None:
        """Stops the engines."""
        for engine in self.engines.values():
            await defer.maybeDeferred(engine.server.close)

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    async def _follow(self, number: int) -> None:
        stream = _Stream(number=number)
        deadline = self._reactor.seconds() + _DEADLINE_S
        attempt = 0
        while not stream.is_complete and self._reactor.seconds() < deadline:
            attempt += 1
            await self._attempt(f"t{number}-{attempt}", stream, deadline)
            await self._sleep(_RETURN_DELAY_S)
        self._check(number, stream)

    async def _attempt(
        self, request_id: str, stream: _Stream, deadline: float
    ) -> None:
        remaining_s = deadline - self._reactor.seconds()
        headers = [
            "X-Token-Count: 100,50",
            f"X-Prompt-Prefix: 0a:50,{stream.prompt_id:x}:50",
        ]
        kind = "began"
        if stream.origin is not None:
            headers.append(f"Last-Event-Id: {stream.last_event_id}")
            kind = "went on unnamed"
        if stream.origin is not None and stream.names_origin:
            headers.append(f"Resumes: {stream.origin}")
            kind = "went on"
        gateway = self._generator.choice(self._gateways)
        try:
            caller = await testing.connect(
                self._reactor, gateway.port, timeout_s=1.0
            )
        except error.ConnectError:
            return
        caller.send(
            testing.make_request(
                PATH,
                request_id=request_id,
                deadline_ms=max(1, int(remaining_s * 1000)),
                headers=tuple(headers),
            )
        )
        timeout_s = remaining_s
        if self._generator.random() < _LEAVE_SHARE:
            timeout_s = min(timeout_s, _MAX_STAY_S * self._generator.random())
        answer = await caller.read_within(timeout_s)
        event_count = len(stream.events)
        stream.add(request_id, answer)
        if len(stream.events) > event_count:
            self.counts[kind] += 1
        elif answer.status:
            self.counts[f"{kind}: {answer.status}"] += 1

    def _check(self, number: int, stream: _Stream) -> None:
        ids = [event_id for event_id, _ in stream.events]
        if ids != list(range(1, len(ids) + 1)):
            self.violations.append(f"stream {number}: events {ids}")
        if len(stream.versions) > 1:
            self.violations.append(
                f"stream {number} ({stream.origin}): events of the versions "
                f"{sorted(stream.versions)}"
            )
        self.counts["complete"] += stream.is_complete
