"""Callers, and what they check in each answer."""

import collections
import dataclasses
import random

from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import task

from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways

_PROMISES = (408, 421, 429, 503)
_EVENTS = [f"data: token {number}".encode() for number in range(1, 9)]


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What became of one request.

    Attributes:
        kind: `once`, `again` or `gen`.
        status: The HTTP status, zero without an answer.
        is_whole: True when the answer was whole.
        left: True when the caller left.
    """

    kind: str
    status: int = 0
    is_whole: bool = False
    left: bool = False


class CallerCrowd:
    """Sends requests at random and checks the answers.

    Args:
        reactor: The reactor.
        gateways: Where to send.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        reactor,
        gateways: list[_gateways.GatewayProcess],
        generator: random.Random,
    ):
        self._reactor = reactor
        self._gateways = gateways
        self._generator = generator
        self.outcomes: dict[str, Outcome] = {}
        self.violations: list[str] = []
        self.statuses: collections.Counter[int] = collections.Counter()
        self.in_flight = 0
        self.until = 0.0

    async def run(self) -> None:
        """Sends one request after another until the end."""
        number = 0
        while self._reactor.seconds() < self.until:
            number += 1
            self.in_flight += 1
            sending = testing.spawn(self._call(number))
            sending.addErrback(self._note_error)
            pause_s = self._generator.expovariate(25.0)
            await task.deferLater(self._reactor, pause_s)

    def _note_error(self, reason) -> None:
        self.violations.append(f"caller failed: {reason.getTraceback()}")

    async def _call(self, number: int) -> None:
        request_id = f"q{number}"
        kind = self._generator.choice(("once", "once", "again", "gen"))
        outcome = Outcome(kind=kind)
        self.outcomes[request_id] = outcome
        try:
            answer = await self._exchange(request_id, outcome)
        except error.ConnectError:
            return
        finally:
            self.in_flight -= 1
        outcome.status = answer.status
        self.statuses[answer.status] += 1
        self._check(request_id, outcome, answer)

    async def _exchange(
        self, request_id: str, outcome: Outcome
    ) -> testing.RawAnswer:
        caller = await self._connect(self._generator.choice(self._gateways))
        caller.send(
            testing.make_request(
                f"/{outcome.kind}/",
                method="GET" if outcome.kind == "again" else "POST",
                request_id=request_id,
                deadline_ms=3000,
                headers=("X-Token-Count: 100,50",),
            )
        )
        # A caller leaves early, or when nothing can come any more.
        patience_s = 6.0
        if self._generator.random() < 0.1:
            patience_s = 0.3 * self._generator.random()
        leaving = self._reactor.callLater(
            patience_s, self._leave, caller, outcome
        )
        answer = await caller.read_all()
        if leaving.active():
            leaving.cancel()
        return answer

    async def _connect(
        self, gateway: _gateways.GatewayProcess
    ) -> testing.Caller:
        target = endpoints.TCP4ClientEndpoint(
            self._reactor, "127.0.0.1", gateway.port, timeout=1
        )
        return await target.connect(
            protocol.Factory.forProtocol(testing.Caller)
        )

    async def check_route(self, path: str) -> None:
        """Checks that every gateway serves a path."""
        for gateway in self._gateways:
            caller = await self._connect(gateway)
            request_id = f"{gateway.name}{path}"
            caller.send(testing.make_request(path, request_id=request_id))
            answer = await caller.read_all()
            if answer.status != 200:
                self.violations.append(
                    f"{gateway.name}: {path} answered {answer.status}"
                )

    @staticmethod
    def _leave(caller: testing.Caller, outcome: Outcome) -> None:
        outcome.left = True
        caller.disconnect()

    def _check(
        self, request_id: str, outcome: Outcome, answer: testing.RawAnswer
    ) -> None:
        if answer.status != 200 or outcome.left:
            return
        head = answer.data.partition(b"\r\n\r\n")[0].lower()
        if f"x-attempt-id: {request_id}\r\n".encode() not in head + b"\r\n":
            self.violations.append(f"{request_id}: another's answer")
        if outcome.kind == "gen":
            outcome.is_whole = answer.is_complete_stream
            events = [
                line
                for line in answer.data.splitlines()
                if line.startswith(b"data:")
            ]
            wanted = _EVENTS if outcome.is_whole else _EVENTS[: len(events)]
            if events != wanted:
                self.violations.append(f"{request_id}: events {events}")
        elif request_id.encode() in answer.body:
            outcome.is_whole = True
        elif not answer.is_reset:
            self.violations.append(f"{request_id}: body {answer.body!r}")

    def check_runs(self, runs: collections.Counter) -> None:
        """Compares what callers were told with what endpoints ran."""
        for request_id, outcome in self.outcomes.items():
            ran = runs[request_id]
            if outcome.kind == "once" and ran > 1:
                self.violations.append(f"{request_id}: ran {ran} times")
            is_promise = outcome.status in _PROMISES and not outcome.left
            if is_promise and ran and outcome.kind != "again":
                self.violations.append(
                    f"{request_id}: told {outcome.status}, but it ran"
                )
