"""Callers that check each answer."""

import collections
import dataclasses
import random

from twisted.internet import error
from twisted.internet import task

from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways

# With these statuses a gateway guarantees that the request hasn't run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = [f"data: token {number}".encode() for number in range(1, 9)]


def list_events(answer: testing.RawAnswer) -> list[bytes]:
    """Returns the data lines of the events in an answer."""
    return [
        line for line in answer.data.splitlines() if line.startswith(b"data:")
    ]


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """The outcome of one request.

    Attributes:
        kind: The route: `once` for an unsafe call, `again` for a safe one,
            which may be retried, or `gen` for a generation.
        gateway: The name of the gateway that it was sent to.
        sent_at: When it was sent, in seconds.
        status: The HTTP status, or zero without an answer.
        is_complete: True when the answer was complete.
        has_disconnected: True when the caller disconnected before the end.
    """

    kind: str
    gateway: str = ""
    sent_at: float = 0.0
    status: int = 0
    is_complete: bool = False
    has_disconnected: bool = False


class Callers:
    """Sends requests at random and checks the answers.

    Args:
        reactor: The reactor.
        gateways: The gateways to send requests to.
        generator: The random number generator.
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
        self.stop_sending_at = 0.0

    async def run(self) -> None:
        """Sends requests at random intervals until `stop_sending_at`."""
        number = 0
        while self._reactor.seconds() < self.stop_sending_at:
            number += 1
            self.in_flight += 1
            sending = testing.spawn(self._send_request(number))
            sending.addErrback(self._record_error)
            interval_s = self._generator.expovariate(25.0)
            await task.deferLater(self._reactor, interval_s)

    def _record_error(self, reason) -> None:
        self.violations.append(f"caller failed: {reason.getTraceback()}")

    async def _send_request(self, number: int) -> None:
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
        self._check_answer(request_id, outcome, answer)

    async def _exchange(
        self, request_id: str, outcome: Outcome
    ) -> testing.RawAnswer:
        gateway = self._generator.choice(self._gateways)
        caller = await self._connect(gateway)
        outcome.gateway = gateway.name
        outcome.sent_at = self._reactor.seconds()
        caller.send(
            testing.make_request(
                f"/{outcome.kind}/",
                method="GET" if outcome.kind == "again" else "POST",
                request_id=request_id,
                deadline_ms=3000,
                headers=("X-Token-Count: 100,50",),
            )
        )
        # A caller disconnects at a random early time, or when an answer can no
        # longer arrive.
        timeout_s = 6.0
        if self._generator.random() < 0.1:
            timeout_s = 0.3 * self._generator.random()
        timer = self._reactor.callLater(
            timeout_s, self._disconnect, caller, outcome
        )
        answer = await caller.read_all()
        if timer.active():
            timer.cancel()
        return answer

    async def _connect(
        self, gateway: _gateways.GatewayProcess
    ) -> testing.Caller:
        return await testing.connect(self._reactor, gateway.port, timeout_s=1.0)

    async def check_route(self, path: str) -> None:
        """Checks that every gateway answers a path with status 200."""
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
    def _disconnect(caller: testing.Caller, outcome: Outcome) -> None:
        outcome.has_disconnected = True
        caller.disconnect()

    def _check_answer(
        self, request_id: str, outcome: Outcome, answer: testing.RawAnswer
    ) -> None:
        if answer.status != 200 or outcome.has_disconnected:
            return
        head = answer.data.partition(b"\r\n\r\n")[0].lower()
        if f"x-attempt-id: {request_id}\r\n".encode() not in head + b"\r\n":
            self.violations.append(f"{request_id}: answer to another request")
        if outcome.kind == "gen":
            outcome.is_complete = answer.is_complete_stream
            events = list_events(answer)
            expected = EVENTS if outcome.is_complete else EVENTS[: len(events)]
            if events != expected:
                self.violations.append(f"{request_id}: events {events}")
        elif request_id.encode() in answer.body:
            outcome.is_complete = True
        elif not answer.is_reset:
            self.violations.append(f"{request_id}: body {answer.body!r}")

    def check_executions(self, execution_counts: collections.Counter) -> None:
        """Checks the answers against the executions at the endpoints."""
        for request_id, outcome in self.outcomes.items():
            execution_count = execution_counts[request_id]
            if outcome.kind == "once" and execution_count > 1:
                self.violations.append(
                    f"{request_id}: executed {execution_count} times"
                )
            reports_not_run = (
                outcome.status in _NOT_RUN_STATUSES
                and not outcome.has_disconnected
            )
            if reports_not_run and execution_count and outcome.kind != "again":
                self.violations.append(
                    f"{request_id}: executed despite status {outcome.status}"
                )
