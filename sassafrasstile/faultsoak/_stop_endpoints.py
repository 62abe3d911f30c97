"""Engines and plain endpoints with few slots, for the soak of stops."""

import json
import math
import random

import h11
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task

from sassafrasstile.faultsoak import _stop_records

SIZE_HEADER = "X-Real-Size"
TOKENS_PER_EVENT = 7
SLOTS = 8
HANDLE_TTL_S = 2.0
_MAX_QUEUED = 6
_TOKEN_S = 0.006
# A token takes this share longer when all slots are taken.
_FULL_SHARE = 0.25
_PROMPT_TOKEN_S = 0.0004
_MIN_PREFILL_S = 0.05
_MAX_TRANSFER_S = 0.1
_MEAN_WORK_S = 0.15
_WORK_SIGMA = 0.7
_MS_PER_S = 1000
_SIGNED = {"X-Server-Stamp": "stamp"}
_NOT_RUN = {"X-Not-Executed": "1"}
_STREAMED = {
    "Content-Type": "text/event-stream",
    "Transfer-Encoding": "chunked",
}


def make_event(request_id: str, number: int) -> bytes:
    """Returns an event of the stream that answers a request."""
    return f"id: {number}\ndata: {request_id} {number:060d}\n\n".encode()


def make_body(request_id: str, size: int) -> bytes:
    """Returns the body of a plain answer to a request."""
    unit = f"{request_id} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


class _Connection(protocol.Protocol):
    """Reads the requests of a connection; its end cancels their answers."""

    def __init__(self, *, endpoint: "BusyEndpoint"):
        self._endpoint = endpoint
        self._parser = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._serving: defer.Deferred = defer.succeed(None)
        self.headers: dict[str, str] = {}
        self.request_id = ""

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        self._serving.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.receive_data(data)
        while True:
            match self._parser.next_event():
                case h11.Request() as head:
                    self._head = head
                case h11.EndOfMessage():
                    # Answers bypass the parser.
                    self._parser = h11.Connection(h11.SERVER)
                    self._serve(self._head)
                case h11.Data():
                    pass
                case _:
                    return

    def _serve(self, head: h11.Request) -> None:
        self.headers = {
            name.decode(): value.decode() for name, value in head.headers
        }
        self.request_id = self.headers.get("x-attempt-id", "")
        serving = self._endpoint.serve(self, head.target.decode())
        self._serving = defer.ensureDeferred(serving)
        # What is cancelled has been recorded.
        self._serving.addErrback(lambda why: why.trap(defer.CancelledError))

    def send_head(self, status: int, fields: dict[str, str]) -> None:
        """Sends the status line and headers."""
        fields = {"X-Attempt-Id": self.request_id, **fields}
        lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        self.transport.write(
            f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode()
        )

    def answer(self, body: bytes, *, status: int = 200, **fields: str) -> None:
        """Sends an answer with a length."""
        self.send_head(status, {"Content-Length": str(len(body)), **fields})
        self.transport.write(body)


class BusyEndpoint(protocol.Factory):
    """An endpoint that takes its time and lets requests wait.

    Args:
        reactor: The reactor.
        name: Its name.
        stage: `prefill`, `decode`, or `plain`.
        executions: Records what arrives, by request id.
        handles: When the prompts read by all prefill engines expire.
        generator: The random number generator.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        name: str,
        stage: str,
        executions: dict[str, list[_stop_records.Execution]],
        handles: dict[str, float],
        generator: random.Random,
    ):
        self._reactor = reactor
        self._generator = generator
        self._executions = executions
        self._handles = handles
        # Timers that return the slots of holds.
        self._holds: dict = {}
        self._slots = defer.DeferredSemaphore(SLOTS)
        self.name = name
        self.stage = stage
        self.port = 0
        self._port = None

    def buildProtocol(self, addr) -> _Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _Connection(endpoint=self)

    def start(self) -> None:
        """Starts listening."""
        self._port = self._reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port = self._port.getHost().port

    def close(self) -> defer.Deferred:
        """Stops listening."""
        for hold in list(self._holds):
            self._holds.pop(hold).cancel()
        return defer.maybeDeferred(self._port.stopListening)

    async def serve(self, connection: _Connection, target: str) -> None:
        """Answers a request; cancelled when its connection is closed.

        Args:
            connection: The connection.
            target: The path.
        """
        if not connection.request_id:
            self._serve_control(connection, target)
            return
        execution = _stop_records.Execution(
            endpoint=self.name, stage=self.stage, arrived_at=self._now()
        )
        executions = self._executions.setdefault(connection.request_id, [])
        executions.append(execution)
        running = defer.ensureDeferred(self._run(connection, execution))
        limit_ms = int(connection.headers.get("x-deadline-ms", "15000"))
        running.addTimeout(limit_ms / _MS_PER_S, self._reactor)
        try:
            await running
        except defer.TimeoutError:
            execution.ended_by = "deadline"
            connection.transport.abortConnection()
        finally:
            execution.ended_at = self._now()
            execution.ended_by = execution.ended_by or "gateway"

    async def _run(self, connection, execution) -> None:
        """Waits for a slot and runs a request, or refuses it when full."""
        held = self._holds.pop(connection.headers.get("x-kv-hold"), None)
        if held is not None:
            held.cancel()
        elif len(self._slots.waiting) >= _MAX_QUEUED:
            self._refuse(connection, execution)
            return
        else:
            await self._slots.acquire()
        try:
            match self.stage:
                case "prefill":
                    await self._prefill(connection)
                case "plain":
                    await self._work(connection, execution)
                case _ if await self._read_prompt(connection):
                    await self._stream(connection, execution)
                case _:
                    self._refuse(connection, execution)
        finally:
            self._slots.release()
        execution.ended_by = execution.ended_by or "answer"

    async def _prefill(self, connection) -> None:
        tokens = self._count_prompt_tokens(connection)
        await self._sleep(_MIN_PREFILL_S + _PROMPT_TOKEN_S * tokens)
        handle = f"{self.name}-{len(self._handles)}"
        self._handles[handle] = self._now() + HANDLE_TTL_S
        body = {"kvHandle": handle, "tokens": tokens, "version": 1}
        connection.answer(json.dumps(body).encode())

    async def _read_prompt(self, connection) -> bool:
        """Returns whether the prompt could be read or fetched."""
        _, _, handle = connection.headers.get("x-kv-source", "").rpartition("/")
        if not handle:
            tokens = self._count_prompt_tokens(connection)
            await self._sleep(2 * (_MIN_PREFILL_S + _PROMPT_TOKEN_S * tokens))
            return True
        # It can be taken once.
        if self._handles.pop(handle, 0.0) < self._now():
            return False
        await self._sleep(_MAX_TRANSFER_S * self._generator.random())
        return True

    @staticmethod
    def _count_prompt_tokens(connection) -> int:
        return int(connection.headers["x-token-count"].partition(",")[0])

    async def _stream(self, connection, execution) -> None:
        first = int(connection.headers.get("last-event-id", "0")) + 1
        last = int(connection.headers[SIZE_HEADER.lower()])
        for number in range(first, last + 1):
            load = 1 - self._slots.tokens / SLOTS
            step_s = TOKENS_PER_EVENT * _TOKEN_S * (1 + _FULL_SHARE * load)
            await self._sleep(step_s)
            if execution.ran_at is None:
                execution.ran_at = self._now()
                connection.send_head(200, _SIGNED | _STREAMED)
            event = make_event(connection.request_id, number)
            connection.transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        connection.transport.write(b"0\r\n\r\n")

    async def _work(self, connection, execution) -> None:
        execution.ran_at = self._now()
        mu = math.log(_MEAN_WORK_S) - _WORK_SIGMA**2 / 2
        await self._sleep(self._generator.lognormvariate(mu, _WORK_SIGMA))
        size = int(connection.headers[SIZE_HEADER.lower()])
        connection.answer(make_body(connection.request_id, size), **_SIGNED)

    @staticmethod
    def _refuse(connection, execution) -> None:
        connection.answer(b"", status=503, **_NOT_RUN)
        execution.ended_by = "refusal"

    def _serve_control(self, connection, target: str) -> None:
        """Answers health checks, takes holds, and accepts everything else."""
        call, _, name = target.partition("/sassafrasstile/")[2].partition("/")
        if call == "hold-take":
            if not self._slots.tokens:
                connection.answer(b"", status=503)
                return
            self._slots.acquire()
            name = f"hold-{self.name}-{self._generator.random()}"
            self._holds[name] = self._reactor.callLater(
                HANDLE_TTL_S, self._release_hold, name
            )
        elif call == "hold-drop" and name in self._holds:
            self._holds[name].cancel()
            self._release_hold(name)
        body = json.dumps({"hold": name}).encode()
        connection.answer(body, **{"X-Instance-Id": self.name})

    def _release_hold(self, name: str) -> None:
        del self._holds[name]
        self._slots.release()

    def _now(self) -> float:
        return self._reactor.seconds()

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
