"""Long streams that a stopping gateway accepts late are cut at its end."""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import site_lib as site  # noqa: E402

# With TROUBLE=0 the case runs without its disruption.
_IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
_SHORT_EVENTS = 20
_LONG_EVENTS = 170
_TOKENS_PER_EVENT = 7
_EVENT_S = 0.03
_SHORT_STREAMS = 90
_CLIENTS = 6
# The rule counts requests sent later than 3 s after the SIGTERM.
_SENT_AFTER_S = 3.08


class Engines:
    """Workers whose streams are as long as the request says."""

    def __init__(self, record: site.Record):
        self.record = record
        self.runs: set[str] = set()
        self._handles = 0

    async def serve(self, worker, request, writer) -> None:
        """Answers a request at a worker."""
        method, target, _ = request.start.split(" ", 2)
        call = target.rpartition("/")[2]
        if not request.request_id:
            body = b""
            if method == "POST" and call == "hold-take":
                body = json.dumps({"hold": "hold-1"}).encode()
            headers = {"X-Instance-Id": worker.name}
            writer.write(site.encode_answer(200, headers, body))
            return
        headers = {"X-Attempt-Id": request.request_id}
        if request.headers.get("x-stage") == "prefill":
            self._handles += 1
            answer = {"kvHandle": f"h{self._handles}", "tokens": 100}
            body = json.dumps(answer | {"version": 1}).encode()
            writer.write(site.encode_answer(200, headers, body))
            return
        tokens = int(request.headers["x-token-count"].split(",")[1])
        count = tokens // _TOKENS_PER_EVENT
        self.runs.add(request.request_id)
        self.record.write(
            f"{worker.name} runs {request.request_id}: {count} events"
        )
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request.request_id}",
            "X-Server-Stamp: stamp",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(_EVENT_S)
        writer.write(b"0\r\n\r\n")


class Client:
    """A client with a kept connection."""

    def __init__(self, name: str, record: site.Record):
        self.name = name
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, gateway: site.Gateway) -> None:
        """Opens the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            gateway.host, gateway.port
        )

    async def ask(self, request_id: str, events: int) -> str:
        """Sends a request; returns `whole`, `refused` or `cut`."""
        request = site.make_request(
            "POST",
            "/letter/1",
            request_id,
            deadline_ms=14000,
            headers={
                "X-Model": "m",
                "X-Token-Count": f"100,{events * _TOKENS_PER_EVENT}",
                "X-Prompt-Prefix": f"5c1e07a2:80,{request_id}:20",
            },
            body=b"prompt",
        )
        try:
            self._writer.write(request)
            answer = await site.read_message(self._reader)
        except ConnectionError:
            answer = None
        if answer is None:
            return "cut"
        if answer.status != 200:
            return f"refused with {answer.status}"
        if answer.is_complete and answer.body.count(b"id: ") == events:
            return "whole"
        return f"cut after {answer.body.count(b'id: ')} events"


async def case(record: site.Record) -> bool:
    """Returns whether an accepted stream was cut."""
    engines = Engines(record)
    async with site.Site() as place:
        for name, stage in (
            ("p1", "prefill"),
            ("d1", "decode"),
            ("d2", "decode"),
            ("d3", "decode"),
        ):
            await place.add_worker(
                name, "writer", engines.serve, stage=stage, slots=64
            )
        route = site.make_route(
            "/letter/", "writer", "streaming", sticky=True, targetGapMs=300
        )
        place.configure(
            site.make_configuration(
                [route], [site.make_engine_service("writer")]
            )
        )
        await place.start_gateways()
        gateway = place.gateways[0]
        clients = [Client(f"c{number}", record) for number in range(_CLIENTS)]
        for client in clients:
            await client.connect(gateway)
        for turn in range(_SHORT_STREAMS // _CLIENTS):
            results = await asyncio.gather(
                *(
                    client.ask(f"{client.name}-{turn}", _SHORT_EVENTS)
                    for client in clients
                )
            )
            if set(results) != {"whole"}:
                raise site.CannotRunError(f"short streams: {results}")
        if _IS_TROUBLED:
            record.write("SIGTERM")
            gateway.signal(signal.SIGTERM)
        await asyncio.sleep(_SENT_AFTER_S)
        record.write("the clients send their next requests")
        results = await asyncio.gather(
            *(
                client.ask(f"{client.name}-last", _LONG_EVENTS)
                for client in clients
            )
        )
        for client, result in zip(clients, results, strict=True):
            record.write(f"client: {client.name}-last: {result}")
        if _IS_TROUBLED:
            record.write(f"exit code: {await gateway.wait(10.0)}")
        # Only what was passed on to a worker counts; a request that crosses the
        # end of its connection doesn't.
        return any(
            result.startswith("cut") and f"{client.name}-last" in engines.runs
            for client, result in zip(clients, results, strict=True)
        )


if __name__ == "__main__":
    sys.exit(site.run(case, FOLDER, is_troubled=_IS_TROUBLED))
