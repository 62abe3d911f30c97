"""Stand-ins and helpers for the cases: store, workers, clients, gateways.

All of them use loopback addresses and the real clock. The stand-ins run in the
process of the script; each gateway is a process of its own, started with the
command of the deploy file.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import struct
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "a.example"
READY_PATH = "/sassafrasstile/readyz"
_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_START_TIMEOUT_S = 30.0
_REASONS = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request"}


class CannotRunError(Exception):
    """The case couldn't be run, so nothing was shown."""


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._path.write_text("")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        now = time.monotonic() - self._began_at
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{now:8.3f} {text}\n")


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or an answer.

    Attributes:
        start: The request line or the status line.
        headers: The headers, names in lower case.
        body: The body that has arrived.
        is_complete: False when the connection ended before the body did.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ", 2)[1])

    @property
    def request_id(self) -> str:
        """The id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a start line and headers, or returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(start=lines[0], headers=headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request or an answer with its body."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "") == "chunked":
            await _read_chunks(reader, message)
        else:
            length = int(message.headers.get("content-length", "0"))
            while len(message.body) < length:
                data = await reader.read(length - len(message.body))
                if not data:
                    message.is_complete = False
                    break
                message.body += data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_complete = False
    return message


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        message.body += data[:-2]


def encode_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    fields = {**headers, "Content-Length": str(len(body))}
    lines.extend(f"{name}: {value}" for name, value in fields.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def _end_tasks(tasks: set[asyncio.Task]) -> None:
    ending = list(tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)


class _Topic:
    def __init__(self):
        self.records: list[tuple[str, bytes]] = []
        self.changed = asyncio.Event()

    def append(self, key: str, value: bytes) -> int:
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self._topics: dict[str, _Topic] = {}
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and ends its connections."""
        if self._server is not None:
            self._server.close()
        await _end_tasks(self._tasks)

    def put(self, topic: str, key: str, document: object) -> None:
        """Appends a record as the operator or a worker does."""
        self._get(topic).append(key, json.dumps(document).encode())

    def remove(self, topic: str, key: str) -> None:
        """Appends a record without a value, which drops the key."""
        self._get(topic).append(key, b"")

    def _get(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                method, target, _ = request.start.split(" ", 2)
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                call = path.rpartition("/")[2]
                status, body = 404, b"{}"
                if (method, call) == ("POST", "log-append"):
                    status, body = self._append(fields, request.body)
                elif (method, call) == ("GET", "log-read"):
                    status, body = await self._read(fields)
                elif (method, call) == ("GET", "log-newest"):
                    status, body = self._read_newest(fields)
                writer.write(encode_answer(status, {"Store-Era": "1"}, body))
                await writer.drain()
        self._tasks.discard(asyncio.current_task())
        writer.close()

    def _append(self, fields, body: bytes) -> tuple[int, bytes]:
        topic = self._get(fields["topic"])
        if "at" in fields and int(fields["at"]) != len(topic.records):
            answer = {"endOffset": len(topic.records)}
            return 412, json.dumps(answer).encode()
        record = body[_RECORD_LENGTH.size :]
        end = 1 + record[0]
        offset = topic.append(record[1:end].decode(), record[end:])
        answer = {"offset": offset, "endOffset": offset + 1}
        return 200, json.dumps(answer).encode()

    async def _read(self, fields) -> tuple[int, bytes]:
        topic = self._get(fields["topic"])
        start = int(fields["from"])
        if start > len(topic.records):
            return 410, json.dumps({"firstOffset": 0}).encode()
        wait_s = int(fields.get("waitMs", "0")) / 1000
        if start == len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_s)
        data = _READ_HEADER.pack(len(topic.records), 0)
        for key, value in topic.records[start : start + 1024]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            data += _RECORD_LENGTH.pack(len(record)) + record
        return 200, data

    def _read_newest(self, fields) -> tuple[int, bytes]:
        topic = self._get(fields["topic"])
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(topic.records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        answer = {
            "items": items,
            "hasMore": False,
            "endOffset": len(topic.records),
        }
        return 200, json.dumps(answer).encode()


class Worker:
    """A worker whose answers a function writes.

    Args:
        name: Its id.
        serve: Called with the worker, a request and the writer of its
            connection; answers the request.
    """

    def __init__(self, name: str, serve):
        self.name = name
        self._serve_request = serve
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.port = 0

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and ends its connections."""
        if self._server is not None:
            self._server.close()
        await _end_tasks(self._tasks)

    def describe(self, service: str, **changes) -> dict:
        """Returns its entry in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
            **changes,
        }

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_complete:
                    break
                await self._serve_request(self, request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


def find_free_port(host: str) -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def make_bounds(**changes) -> dict:
    """Returns the bounds of the sheet of Fellesvarsel."""
    return {
        "seedLagS": 3,
        "reuseAfterS": 2,
        "stableWindowMs": 3000,
        "ackTimeoutMs": 4000,
        "catchUpS": 4,
        "drainMs": 2000,
        "graceS": 8,
        "lossSlackMs": 200,
        "configApplyMs": 2000,
        "rollbackSlackMs": 250,
        "maxSkewMs": 5000,
        "retryBudgetRatio": 0.2,
        "retryWindowS": 10,
        "budgetSlack": 58,
        "recoveryS": 12,
        "maxTransitMs": 120,
        "retryAfterS": 7.4,
        "fencingRequired": True,
        "leaseMs": 3000,
        "thawMs": 300,
        **changes,
    }


class Gateway:
    """A gateway process, started as the deploy file says.

    Args:
        number: Its number; each gateway has a loopback address of its own.
        folder: The folder for its settings and its output.
        store_port: The port of the store.
        bounds: Bounds of its settings.
    """

    def __init__(
        self, number: int, folder: pathlib.Path, store_port: int, bounds: dict
    ):
        self.name = f"edge-a-{number}"
        second, third = random.randrange(1, 250), random.randrange(1, 250)
        self.host = f"127.{second}.{third}.{number}"
        self.port = find_free_port(self.host)
        self.ready_port = find_free_port(self.host)
        self._folder = folder
        self._store_port = store_port
        self._bounds = bounds
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        path = self._folder / f"{self.name}.yaml"
        # JSON is YAML, too.
        path.write_text(json.dumps(self._make_settings(), indent=1))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(role["env"])
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SASSAFRASSTILE_BOOT"] = str(path)
        with open(self._folder / f"{self.name}.log", "ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def _make_settings(self) -> dict:
        internal_port = find_free_port(self.host)
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "frontend": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "internalPorts": [internal_port, internal_port],
            "seeds": [],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 150,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryPoint": "vip",
            "heartbeatMs": 1200,
            "bounds": self._bounds,
            "platform": {
                "address": f"127.0.0.1:{self._store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
            },
        }

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Waits for its end; returns the exit code, or None."""
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return None

    async def is_ready(self) -> bool:
        """Asks the gateway as the platform does."""
        request = f"GET {READY_PATH} HTTP/1.1\r\nHost: {self.host}\r\n\r\n"
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
        except OSError:
            return False
        writer.write(request.encode())
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def wait_until_ready(self) -> None:
        """Waits until the gateway says that it is ready."""
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > deadline or self._process.returncode:
                raise CannotRunError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Kills the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self.signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()


def make_request(
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns the bytes of a client's request."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in fields.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def make_route(path: str, service: str, kind: str, **changes) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": f"r-{path.strip('/')}",
        "hostname": HOST,
        "pathPrefix": path,
        "routeType": kind,
        "timeoutMs": 14000,
        "targetLatencyMs": 900,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **changes,
    }


def make_configuration(
    routes: list[dict], services: list[dict], *, version: int = 7, **changes
) -> dict:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **changes,
    }


def make_engine_service(name: str) -> dict:
    """Returns a service of model workers, as the pages show one."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 370,
        "engine": {
            "slots": 64,
            "kvCapacityTokens": 51867,
            "kvBytes": 18432,
            "linkMbps": 200000.0,
            "stride": 7,
            "kvTtlS": 0.5,
            "stageSwitchS": 6.0,
            "holdMs": 2000.0,
        },
    }


async def exchange(host: str, port: int, data: bytes) -> Message | None:
    """Sends a request on a new connection and reads the answer."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        writer.write(data)
        await writer.drain()
        return await read_message(reader)
    except ConnectionError:
        return None
    finally:
        writer.close()


class Site:
    """A store, workers and gateways, which end with the block.

    Args:
        gateways: The number of gateways.
        bounds: Bounds of their settings.
    """

    def __init__(self, *, gateways: int = 1, bounds: dict | None = None):
        self.store = Store()
        self.workers: list[Worker] = []
        self.gateways: list[Gateway] = []
        self._count = gateways
        self._bounds = bounds or make_bounds()
        self._folder = tempfile.TemporaryDirectory()

    @property
    def folder(self) -> pathlib.Path:
        """The folder with settings and output of the gateways."""
        return pathlib.Path(self._folder.name)

    async def __aenter__(self) -> "Site":
        """Starts the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_) -> None:
        """Ends everything."""
        for gateway in self.gateways:
            await gateway.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    async def add_worker(self, name: str, service: str, serve, **changes):
        """Starts a worker and writes its entry."""
        worker = Worker(name, serve)
        await worker.start()
        self.workers.append(worker)
        self.announce(worker, service, **changes)
        return worker

    def announce(self, worker: Worker, service: str, **changes) -> None:
        """Writes a worker's entry to the store."""
        self.store.put(
            "keyed.servers", worker.name, worker.describe(service, **changes)
        )

    def configure(self, configuration: dict) -> None:
        """Writes the configuration as the operator does."""
        self.store.put("keyed.op", "config", configuration)

    async def start_gateways(self) -> None:
        """Starts the gateways and waits until they are ready."""
        if not (ROOT / "target" / "deps" / "sassafrasstile").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        for number in range(1, self._count + 1):
            self.gateways.append(
                Gateway(number, self.folder, self.store.port, self._bounds)
            )
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()


def run(
    case,
    folder: pathlib.Path,
    *,
    is_troubled: bool,
    limit_s: float = 100.0,
) -> int:
    """Runs a case and returns the exit code of its script.

    Args:
        case: Called with the record; returns whether the rule was broken.
        folder: The folder of the case, which gets the record.
        is_troubled: Whether the case has its disruption.
        limit_s: The time after which the case is given up.
    """
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'yes' if is_troubled else 'no'}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except Exception as reason:
        # Nothing is said of the rule then.
        record.write(f"could not run: {reason!r}")
        print(f"could not run: {reason!r}")
        return 2
    outcome = "the rule was broken" if is_broken else "the rule held"
    record.write(outcome)
    print(outcome)
    return 1 if is_broken else 0
