"""Clients take streams up again after all gateways were stopped in turn."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import site_lib as site  # noqa: E402

# With TROUBLE=0 the case runs without its disruption.
_IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
_STREAMS = 14
_EVENTS = 170
_EVENT_S = 0.065
_DEADLINE_MS = 14000
# The pause between two stops.
_GAP_S = 1.0
# A client opens its next connection after a short pause.
_RETURN_S = 0.3
# The rule counts from this number of streams on, at machines in touch.
_MIN_STREAMS = 12
_STABLE_WINDOW_S = 3.0
_PATH = "/note/1"


class Engines:
    """Workers that prefill, and workers that decode."""

    def __init__(self, record: site.Record):
        self.record = record
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
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.record.write(
            f"{worker.name} runs {request.request_id} from event {first} on"
        )
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request.request_id}",
            "X-Server-Stamp: stamp",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, _EVENTS + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(_EVENT_S)
        writer.write(b"0\r\n\r\n")


class Stream:
    """A client's stream, over its attempts."""

    def __init__(self, name: str, record: site.Record):
        self.name = name
        self.last_id = 0
        self.status = 0
        self.retry_after_s = 0.0
        self.is_complete = False
        self._record = record
        self._attempts = 0

    async def attempt(self, gateway: site.Gateway) -> None:
        """Begins the stream, or takes it up again."""
        self._attempts += 1
        request_id = f"{self.name}-{self._attempts}"
        headers = {
            "X-Model": "m",
            "X-Token-Count": f"100,{7 * _EVENTS}",
            "X-Prompt-Prefix": f"5c1e07a2:80,{self.name}:20",
        }
        text = f"client sends {request_id} to {gateway.name}"
        if self.last_id:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = f"{self.name}-1"
            text += f", Last-Event-Id: {self.last_id}"
        request = site.make_request(
            "POST",
            _PATH,
            request_id,
            deadline_ms=_DEADLINE_MS,
            headers=headers,
            body=b"prompt",
        )
        self._record.write(text)
        head = None
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.port
        )
        try:
            writer.write(request)
            head = await site.read_head(reader)
            self.status = head.status if head else 0
            if self.status == 200:
                await self._read_events(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
        self.retry_after_s = 0.0
        if head is not None and self.status == 503:
            self.retry_after_s = float(head.headers.get("retry-after", "0"))
        self._record.write(
            f"client: {request_id}: status {self.status}, "
            f"last event {self.last_id}"
            + (", complete" if self.is_complete else "")
        )

    async def take_up(self, gateway: site.Gateway) -> None:
        """Takes the stream up again, once more after a refusal."""
        await asyncio.sleep(_RETURN_S)
        await self.attempt(gateway)
        if self.status == 503:
            await asyncio.sleep(self.retry_after_s)
            await self.attempt(gateway)

    async def _read_events(self, reader) -> None:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                self.is_complete = True
                return
            for line in data.splitlines():
                if line.startswith(b"id: "):
                    self.last_id = int(line[4:])


async def case(record: site.Record) -> bool:
    """Returns whether too few streams went on."""
    engines = Engines(record)
    async with site.Site(gateways=3) as place:
        for name, stage in (
            ("p1", "prefill"),
            ("d1", "decode"),
            ("d2", "decode"),
        ):
            await place.add_worker(
                name, "writer", engines.serve, stage=stage, slots=64
            )
        route = site.make_route(
            "/note/", "writer", "streaming", maxAttempts=2, sticky=True
        )
        route |= {"resumable": True, "targetGapMs": 300}
        service = site.make_engine_service("writer")
        place.configure(site.make_configuration([route], [service]))
        await place.start_gateways()
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(12.0)
        *others, last = place.gateways
        streams = [
            Stream(f"a{number:02}", record) for number in range(_STREAMS)
        ]
        running = [
            asyncio.ensure_future(stream.attempt(last)) for stream in streams
        ]
        await asyncio.sleep(0.5)
        stops = []
        ready_at: dict[str, float] = {}
        if _IS_TROUBLED:
            stops = await _stop_in_turn([*others, last], ready_at, record)
        await asyncio.gather(*running)
        broken = [item for item in streams if not item.is_complete]
        record.write(f"streams broken off: {len(broken)}")
        if _IS_TROUBLED:
            # A machine is in touch only some time after its start.
            served_s = time.monotonic() - ready_at.get(others[0].name, 1e9)
            record.write(f"{others[0].name} has served for {served_s:.1f} s")
            if len(broken) < _MIN_STREAMS or served_s < _STABLE_WINDOW_S:
                raise site.CannotRunError("not enough streams at a machine")
        new = [Stream(f"b{number:02}", record) for number in range(_STREAMS)]
        before = {item.name: item.last_id for item in broken}
        await asyncio.gather(
            *(item.take_up(others[0]) for item in broken),
            *(item.attempt(others[0]) for item in new),
        )
        for stop in stops:
            stop.cancel()
        await asyncio.gather(*stops, return_exceptions=True)
        went_on = sum(item.last_id > before[item.name] for item in broken)
        began = sum(item.last_id > 0 for item in new)
        record.write(f"new streams: {began} of {len(new)} began")
        record.write(f"taken up again: {went_on} of {len(broken)} went on")
        if not broken:
            return False
        return went_on / len(broken) < 0.5 * began / len(new)


async def _stop_in_turn(
    gateways: list[site.Gateway],
    ready_at: dict[str, float],
    record: site.Record,
) -> list[asyncio.Task]:
    """Sends each a SIGTERM and starts it again once it has ended."""

    async def restart(gateway: site.Gateway) -> None:
        code = await gateway.wait(12.0)
        record.write(f"{gateway.name} has ended with {code}, starts again")
        await gateway.start()
        await gateway.wait_until_ready()
        ready_at[gateway.name] = time.monotonic()
        record.write(f"{gateway.name} is ready again")

    stops = []
    for gateway in gateways:
        record.write(f"SIGTERM to {gateway.name}")
        gateway.signal(signal.SIGTERM)
        stops.append(asyncio.ensure_future(restart(gateway)))
        await asyncio.sleep(_GAP_S)
    return stops


if __name__ == "__main__":
    sys.exit(site.run(case, FOLDER, is_troubled=_IS_TROUBLED))
