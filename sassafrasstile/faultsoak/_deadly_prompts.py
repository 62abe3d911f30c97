"""Engines that crash under prompts with one part, and callers that send it."""

import collections
import dataclasses
import functools
import random

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _notice_log

SERVICE = "fragile"
PATH = "/fragile/"
_ENGINES = 5
_DEADLY_PART = "deadly"
_SHARED_PARTS = [f"shared{number}" for number in range(16)]
_REQUESTS_PER_S = 24.0
_DEADLY_SHARE = 0.2
# Callers send sound requests alone for this long.
_SOUND_S = 2.5
_DEADLINE_S = 3.0
# By then the head of an answer has been sent.
_CRASH_DELAY_S = 0.01
# The users' rules, for the largest `stableWindowMs` of their sites.
_STABLE_WINDOW_S = 5.0
_COUNTED_CRASHES = 5
_MAX_ARRIVALS = 3
_MIN_SHARE = 0.5
_MIN_REQUESTS = 20


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request, its outcome, and when it arrived at engines, in seconds."""

    gateway: str
    sent_at: float
    is_deadly: bool
    status: int = 0
    has_begun: bool = False
    arrivals: list[float] = dataclasses.field(default_factory=list)


class DeadlyPrompts:
    """Sends sound prompts, and deadly ones that share their parts.

    Args:
        reactor: The reactor.
        gateways: The gateways to send requests to.
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
        # The other faults of a seed don't depend on these requests.
        self._generator = random.Random(f"deadly prompts {seed}")
        self._store = None
        self._engines: list[standins.PlatformEndpoint] = []
        self._starts: collections.Counter[int] = collections.Counter()
        self._down: dict[int, defer.Deferred] = {}
        self.requests: dict[str, Request] = {}
        self.crashes: list[float] = []

    # Engines.

    def start(self, server: standins.PlatformStoreServer) -> None:
        """Starts the engines and writes their records."""
        self._store = server.store
        for number in range(_ENGINES):
            script = functools.partial(self._answer, number)
            self._engines.append(
                standins.PlatformEndpoint(reactor=self._reactor, script=script)
            )
            self._start_engine(number, testing.pick_port())

    async def close(self) -> None:
        """Stops the engines."""
        await defer.gatherResults(list(self._down.values()))
        for engine in self._engines:
            await defer.maybeDeferred(engine.close)

    def _start_engine(self, number: int, port: int) -> None:
        """Starts a new incarnation of an engine."""
        self._engines[number].start(port=port)
        self._starts[number] += 1
        document = testing.make_endpoint_document(
            port=port,
            service=SERVICE,
            stage="decode",
            born=self._starts[number],
        )
        self._store.put_json("keyed.servers", f"f{number}", document)

    def _answer(
        self, number: int, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        if number in self._down:
            return standins.SILENCE
        if request.target == "/sassafrasstile/hold-take":
            return standins.make_hold(request, "m")
        if request.target != PATH:
            return standins.make_answer(request, signed=False)
        sent = self.requests[request.request_id]
        sent.arrivals.append(self._reactor.seconds())
        answer = standins.make_stream(request, count=12, gap_s=0.06)
        if not sent.is_deadly:
            return answer
        self.crashes.append(self._reactor.seconds())
        self._down[number] = testing.spawn(self._crash(number))
        return dataclasses.replace(answer, segments=answer.segments[:1])

    async def _crash(self, number: int) -> None:
        """Ends an engine, and starts it again after about a second."""
        engine = self._engines[number]
        await task.deferLater(self._reactor, _CRASH_DELAY_S)
        await defer.maybeDeferred(engine.close)
        down_s = self._generator.uniform(0.7, 1.3)
        await task.deferLater(self._reactor, down_s)
        del self._down[number]
        self._start_engine(number, engine.port)

    # Callers.

    async def run(self, ends_at: float) -> None:
        """Sends requests at random intervals, and waits for their ends."""
        deadly_at = self._reactor.seconds() + _SOUND_S
        running = []
        while (now := self._reactor.seconds()) < ends_at:
            share = _DEADLY_SHARE if now > deadly_at else 0.0
            is_deadly = self._generator.random() < share
            request_id = f"p{len(running)}"
            running.append(testing.spawn(self._send(request_id, is_deadly)))
            interval_s = self._generator.expovariate(_REQUESTS_PER_S)
            await task.deferLater(self._reactor, interval_s)
        await defer.gatherResults(running, consumeErrors=False)

    async def _send(self, request_id: str, is_deadly: bool) -> None:
        parts = self._generator.sample(_SHARED_PARTS, 2)
        if is_deadly:
            parts[self._generator.randrange(2)] = _DEADLY_PART
        prefix = ",".join(f"{part}:20" for part in ("a", *parts, request_id))
        gateway = self._generator.choice(self._gateways)
        try:
            caller = await testing.connect(
                self._reactor, gateway.port, timeout_s=1.0
            )
        except error.ConnectError:
            return
        request = self.requests[request_id] = Request(
            gateway=gateway.name,
            sent_at=self._reactor.seconds(),
            is_deadly=is_deadly,
        )
        caller.send(
            testing.make_request(
                PATH,
                request_id=request_id,
                deadline_ms=int(_DEADLINE_S * 1000),
                headers=("X-Token-Count: 100,50", f"X-Prompt-Prefix: {prefix}"),
            )
        )
        answer = await caller.read_within(2 * _DEADLINE_S)
        request.status = answer.status
        request.has_begun = answer.status == 200 and b"data:" in answer.body

    # Checks.

    def count(self) -> collections.Counter[str]:
        """Returns how often requests ended with each status, and crashes."""
        counts = collections.Counter(
            f"{'deadly' if item.is_deadly else 'sound'}: {item.status}"
            for item in self.requests.values()
        )
        counts["crashes"] = len(self.crashes)
        return counts

    def check(self) -> list[str]:
        """Returns the violations, one sentence each."""
        violations = [
            f"{request_id}: reached an engine despite status 503"
            for request_id, item in self.requests.items()
            if item.status == 503 and item.arrivals
        ]
        counted = self.crashes[:_COUNTED_CRASHES]
        if len(counted) == _COUNTED_CRASHES:
            late = self._list_late(counted[-1] + _STABLE_WINDOW_S)
            if len(late) > _MAX_ARRIVALS:
                violations.append(
                    f"deadly prompts reached engines late: {late}"
                )
        if counted:
            since = counted[-1] + 2 * _STABLE_WINDOW_S
            violations.extend(self._check_sound(counted[0], since))
        return violations

    def _list_late(self, since: float) -> list[str]:
        """Returns a request for each late arrival of a deadly prompt."""
        return [
            request_id
            for request_id, item in self.requests.items()
            for at in item.arrivals
            if item.is_deadly and at > since and self._is_in_touch(item, at, at)
        ]

    def _check_sound(self, until: float, since: float) -> list[str]:
        sound = [
            item
            for item in self.requests.values()
            if not item.is_deadly
            and self._is_in_touch(
                item, item.sent_at, item.sent_at + _DEADLINE_S
            )
        ]
        before = [item.has_begun for item in sound if item.sent_at < until]
        after = [item.has_begun for item in sound if item.sent_at > since]
        if min(len(before), len(after)) < _MIN_REQUESTS:
            return []
        shares = [sum(items) / len(items) for items in (before, after)]
        if shares[1] >= _MIN_SHARE * shares[0]:
            return []
        return [f"sound requests began too seldom, shares {shares}"]

    def _is_in_touch(self, item: Request, since: float, until: float) -> bool:
        return not self._notices.has_disturbance(
            [item.gateway], since - _STABLE_WINDOW_S, until
        )
