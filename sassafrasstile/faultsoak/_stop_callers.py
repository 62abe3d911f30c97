"""Callers of the soak of stops, and the balancer in front of the gateways."""

from collections.abc import Callable
import contextlib
import dataclasses
import math
import random

import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _stop_connection
from sassafrasstile.faultsoak import _stop_endpoints
from sassafrasstile.faultsoak import _stop_records
from sassafrasstile.faultsoak import _stop_site

_READY_PATH = "/sassafrasstile/readyz"
_PROBE_INTERVAL_S = 1.0
_MAX_MISSES = 2
_MS_PER_S = 1000
_MAX_EVENTS = 170
_MAX_BODY_BYTES = 3_600_000
_MEAN_PROMPT_TOKENS = 250
_LEAVING_SHARE = 0.04
_THINKING_SHARE = 0.2
_REFUSED_WAIT_S = 0.3
# A caller gives a stream up when nothing comes for so long.
_MAX_GAP_S = 3.6
_MARGIN_S = 0.3
# It has a large answer within six seconds.
_SLOW_MANNER = _stop_connection.Manner(
    bytes_per_s=650_000, receive_buffer=65536
)
_FAST_MANNERS = (
    _stop_connection.Manner(),
    _stop_connection.Manner(pause_s=0.03),
    _stop_connection.Manner(pause_s=0.25),
)
_SMALL_MANNERS = (
    *_FAST_MANNERS,
    _stop_connection.Manner(receive_buffer=4096),
    _stop_connection.Manner(bytes_per_s=20_000, receive_buffer=4096),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Traffic:
    """What callers send.

    Attributes:
        stream_loops: The number of callers that keep their connection and ask
            for streams.
        call_loops: The number of those that call plain services.
        dossier_loops: The number of those that ask for large answers.
        new_per_s: Requests on new connections per second.
        mean_events: The mean length of a stream.
        events_sigma: How much these lengths differ.
    """

    stream_loops: int
    call_loops: int = 8
    dossier_loops: int
    new_per_s: float
    mean_events: int
    events_sigma: float


def choose_traffic(generator: random.Random) -> Traffic:
    """Returns traffic of a random kind, from quiet to more than fits."""
    load = generator.choice((0.05, 0.2, 0.5, 1.0, 1.4))
    return Traffic(
        stream_loops=int(24 * load),
        new_per_s=6.0 * load,
        mean_events=generator.choice((25, 45, 72, 72)),
        events_sigma=generator.choice((0.7, 1.3)),
        dossier_loops=generator.choice((4, 8)),
    )


class Balancer:
    """Chooses gateways for new connections as the platform does.

    Args:
        reactor: The reactor.
        gateways: The gateways.
    """

    def __init__(self, *, reactor, gateways: list[_gateways.GatewayProcess]):
        self._reactor = reactor
        self._gateways = gateways
        self._misses: dict[str, int] = {}

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Asks every gateway once a second whether it is ready."""
        while not is_over():
            for gateway in self._gateways:
                testing.spawn(self._probe(gateway))
            await task.deferLater(self._reactor, _PROBE_INTERVAL_S)

    def choose(self, generator: random.Random) -> _gateways.GatewayProcess:
        """Returns the gateway of a new connection."""
        ready = [
            gateway
            for gateway in self._gateways
            if self._misses.get(gateway.name, 0) < _MAX_MISSES
        ]
        if 2 * len(ready) < len(self._gateways):
            ready = self._gateways
        return generator.choice(ready)

    async def _probe(self, gateway: _gateways.GatewayProcess) -> None:
        status = 0
        with contextlib.suppress(error.ConnectError):
            caller = await testing.connect(
                self._reactor, gateway.ready_port, timeout_s=0.9
            )
            caller.send(testing.make_request(_READY_PATH, method="GET"))
            status = (await caller.read_within(0.9)).status
        is_ready = status == 200
        misses = self._misses.get(gateway.name, _MAX_MISSES)
        self._misses[gateway.name] = 0 if is_ready else misses + 1


class StopCallers:
    """Callers on kept connections, and others with one request each.

    Args:
        reactor: The reactor.
        balancer: Chooses the gateways of new connections.
        find_life: Returns the process of a gateway that is running.
        traffic: What they send.
        seed: The seed of the random numbers.

    Attributes:
        attempts: The requests sent.
    """

    def __init__(
        self,
        *,
        reactor,
        balancer: Balancer,
        find_life: Callable[[str], _stop_records.Life],
        traffic: Traffic,
        seed: int,
    ):
        self._traffic = traffic
        self._reactor = reactor
        self._balancer = balancer
        self._find_life = find_life
        self._seed = seed
        self._until = 0.0
        self.attempts: list[_stop_records.Attempt] = []

    async def run(self, until: float) -> None:
        """Sends requests until a time, and waits for the last answers."""
        self._until = until
        kinds = (
            *[(_stop_site.LETTER, _stop_site.NOTE)]
            * self._traffic.stream_loops,
            *[(_stop_site.CALL, _stop_site.LOOK)] * self._traffic.call_loops,
            *[(_stop_site.DOSSIER,)] * self._traffic.dossier_loops,
        )
        running = [
            testing.spawn(self._keep_asking(number, some))
            for number, some in enumerate(kinds)
        ]
        generator = random.Random(f"new {self._seed}")
        while self._now() < until:
            number = len(running)
            running.append(testing.spawn(self._ask_once(number)))
            await self._sleep(generator.expovariate(self._traffic.new_per_s))
        await defer.gatherResults(running, consumeErrors=False)

    async def _keep_asking(self, number: int, kinds) -> None:
        generator = random.Random(f"{self._seed} {number}")
        while self._now() < self._until:
            connection = self._connect(generator, kinds)
            while (
                connection is not None
                and connection.may_reuse
                and self._now() < self._until
            ):
                await self._ask(connection, generator, kinds)
            if connection is None:
                await self._sleep(_REFUSED_WAIT_S)
            else:
                connection.close()

    async def _ask_once(self, number: int) -> None:
        generator = random.Random(f"{self._seed} {number}")
        kinds = (generator.choice(_stop_site.KINDS),)
        connection = self._connect(generator, kinds)
        if connection is not None:
            await self._ask(connection, generator, kinds)
            connection.close()

    def _connect(self, generator: random.Random, kinds):
        """Returns a new connection, or None if it is refused."""
        manners = _SMALL_MANNERS
        if _stop_site.DOSSIER in kinds:
            manners = (*_FAST_MANNERS, *[_SLOW_MANNER] * 9)
        gateway = self._balancer.choose(generator)
        connection = _stop_connection.CallerConnection(
            reactor=self._reactor,
            manner=generator.choice(manners),
            life=self._find_life(gateway.name),
        )
        try:
            connection.connect(gateway.port)
        except OSError:
            return None
        return connection

    async def _ask(self, connection, generator, kinds) -> None:
        kind = generator.choice(kinds)
        attempt = _stop_records.Attempt(
            request_id=f"s{len(self.attempts)}",
            kind=kind,
            size=self._choose_size(generator, kind),
            life=connection.life,
        )
        self.attempts.append(attempt)
        patience_s = kind.limit_s + _MARGIN_S
        if generator.random() < _LEAVING_SHARE:
            patience_s = 2.0 * generator.random()
        request, body = self._make_request(attempt, generator)
        timer = self._reactor.callLater(patience_s, connection.leave)
        watch = task.LoopingCall(self._leave_if_silent, connection, attempt)
        watch.start(_MARGIN_S, now=False)
        try:
            await connection.ask(attempt, request, body)
        finally:
            watch.stop()
            if timer.active():
                timer.cancel()
        if attempt.status == 503:
            await self._sleep(_REFUSED_WAIT_S * generator.random())
        elif generator.random() < _THINKING_SHARE:
            await self._sleep(generator.random())

    def _leave_if_silent(self, connection, attempt) -> None:
        """Gives up a stream of which nothing has come for long."""
        since = max(attempt.sent_at or self._now(), connection.received_at)
        if attempt.kind.is_stream and self._now() > since + _MAX_GAP_S:
            connection.leave()

    def _choose_size(self, generator: random.Random, kind) -> int:
        if kind.is_stream:
            sigma = self._traffic.events_sigma
            mu = math.log(self._traffic.mean_events) - sigma**2 / 2
            events = generator.lognormvariate(mu, sigma)
            return min(_MAX_EVENTS, max(2, int(events)))
        if kind is _stop_site.DOSSIER:
            return int(_MAX_BODY_BYTES * generator.uniform(0.5, 1.0))
        return int(2000 * generator.random())

    def _make_request(self, attempt, generator) -> tuple[h11.Request, bytes]:
        kind = attempt.kind
        body = b"p" * generator.randint(100, 8000)
        headers = [
            ("Host", "a.example"),
            ("X-Attempt-Id", attempt.request_id),
            ("X-Deadline-Ms", str(int(kind.limit_s * _MS_PER_S))),
            ("Content-Length", str(len(body))),
            (_stop_endpoints.SIZE_HEADER, str(attempt.size)),
        ]
        if kind.is_stream:
            # What a caller states is a bound, and often far more.
            stated = int(attempt.size * generator.uniform(1.0, 2.0))
            stated = min(_MAX_EVENTS, max(attempt.size, stated))
            tokens = stated * _stop_endpoints.TOKENS_PER_EVENT
            prompt = int(generator.uniform(0.2, 1.8) * _MEAN_PROMPT_TOKENS)
            own = prompt // 2
            part = f"91bd3f06:{prompt - own},{len(self.attempts):x}:{own}"
            headers += [
                ("X-Model", "m"),
                ("X-Token-Count", f"{prompt},{tokens}"),
                ("X-Prompt-Prefix", part),
            ]
        request = h11.Request(
            method="POST", target=f"/{kind.name}/1", headers=headers
        )
        return request, body

    def _now(self) -> float:
        return self._reactor.seconds()

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
