"""Measures a gateway's memory under answers without end and slow callers.

Usage: python benchmarks/bench_endless.py

Starts one gateway process before stand-in endpoints for each row, and prints
one JSON object a row: resident memory before, and at its peak, in megabytes.
"""

import json
import pathlib
import tempfile

from twisted.internet import reactor
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways

_ENDLESS_ANSWERS = 20
_UNREAD_STREAMS = 50
_ENDPOINTS = 10
_PART = b"x" * 65536
_PARTS = 160
_EVENTS = 640
_START_S = 4.0
_RUN_S = 6.0


def _answer_endlessly(request):
    """Returns the head of an answer without length, and 10 MB of its body."""
    if request.method == "GET":
        return standins.make_answer(request)
    head = standins.make_answer(request).segments[0].data
    head = head.replace(b"Content-Length: 2\r\n", b"")
    parts = [standins.Segment(data=_PART) for _ in range(_PARTS)]
    return standins.EndpointAnswer(
        segments=[standins.Segment(data=head), *parts]
    )


def _stream(request):
    """Returns a stream of 10 MB."""
    if request.headers.get("x-stage") == "prefill":
        return standins.make_handle(request, "h")
    if request.target != "/gen/":
        return standins.make_answer(request)
    return standins.make_stream(request, count=_EVENTS, text="x" * 16000)


def _read_memory_mb(pid: int, field: str) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = (row for row in status.splitlines() if row.startswith(field))
    return round(int(line.split()[1]) / 1000, 1)


async def _measure(name, *, script, service, stage, path, callers) -> None:
    store = standins.PlatformStoreServer(reactor=reactor)
    store.start()
    servers = []
    for _ in range(_ENDPOINTS):
        server = standins.PlatformEndpoint(reactor=reactor, script=script)
        server.start()
        servers.append(server)
    document = testing.make_configuration_document(
        version=1,
        routes=[
            testing.make_platform_route("/call/", "desk", "unsafe"),
            testing.make_platform_route(
                "/gen/", "writer", "streaming", targetGapMs=300
            ),
        ],
    )
    for item in document["services"]:
        item["maxConnections"] = callers
        if "engine" in item:
            item["engine"]["slots"] = callers
            item["engine"]["holdMs"] = 0
    store.store.put_json("keyed.op", "config", document)
    for number, server in enumerate(servers):
        store.store.put_json(
            "keyed.servers",
            f"e{number}",
            testing.make_endpoint_document(
                port=server.port, service=service, stage=stage, slots=callers
            ),
        )
    with tempfile.TemporaryDirectory() as folder:
        gateway = _gateways.GatewayProcess(
            name="g0", folder=pathlib.Path(folder), store_port=store.port
        )
        gateway.start()
        await task.deferLater(reactor, _START_S)
        before = _read_memory_mb(gateway.pid, "VmRSS")
        connections = []
        for number in range(callers):
            caller = await testing.connect(reactor, gateway.port)
            # Nothing else refers to a connection that isn't read.
            connections.append(caller)
            caller.transport.pauseProducing()
            caller.send(
                testing.make_request(
                    path,
                    request_id=f"r{number}",
                    headers=("X-Token-Count: 9,9",),
                )
            )
        await task.deferLater(reactor, _RUN_S)
        row = {
            "row": name,
            "requests": sum(
                item.method == "POST"
                for server in servers
                for item in server.requests
            ),
            "before_mb": before,
            "peak_mb": _read_memory_mb(gateway.pid, "VmHWM"),
        }
        print(json.dumps(row), flush=True)
        gateway.close()
        for caller in connections:
            caller.disconnect()


async def _run() -> None:
    await _measure(
        "endless_answers",
        script=_answer_endlessly,
        service="desk",
        stage=None,
        path="/call/",
        callers=_ENDLESS_ANSWERS,
    )
    await _measure(
        "unread_streams",
        script=_stream,
        service="writer",
        stage="decode",
        path="/gen/",
        callers=_UNREAD_STREAMS,
    )


if __name__ == "__main__":
    task.react(lambda _reactor: testing.spawn(_run()))
