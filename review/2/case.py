"""A full worker sends the second copy of a refusal late, once.

The worker counts its answers, so that copies stay within the share that the
site file gives.
"""

import asyncio
import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import site_lib as site  # noqa: E402

# With TROUBLE=0 the case runs without its disruption.
_IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
_CALLS_BEFORE = 60
_WORK_S = 0.09
_FULL_S = 5.0


class Desk:
    """Three workers of a plain service."""

    def __init__(self, record: site.Record):
        self.record = record
        self.runs: collections.Counter[str] = collections.Counter()
        self.answers = 0
        self.copies = 0
        # The answers that worker `w0` refuses next.
        self.refusals_left = 0
        self.others_are_full = False
        self.refusing: set[str] = set()
        self._copied: dict[asyncio.StreamWriter, bytes] = {}

    async def serve(self, worker, request, writer) -> None:
        """Answers a request at a worker."""
        copy = self._copied.pop(writer, None)
        if copy is not None:
            # The next answer is expected here now.
            self.copies += 1
            self.record.write(
                f"{worker.name} sends a second copy of its refusal"
            )
            writer.write(copy)
            await writer.drain()
        if not request.request_id:
            headers = {"X-Instance-Id": worker.name}
            writer.write(site.encode_answer(200, headers))
            return
        self.answers += 1
        if self.others_are_full and worker.name != "w0":
            await self._refuse(worker, request, writer, {"Retry-After": "5"})
        elif self.refusals_left and worker.name == "w0":
            self.refusals_left -= 1
            answer = await self._refuse(worker, request, writer, {})
            if _IS_TROUBLED and not self.copies and not self._copied:
                self._copied[writer] = answer
        else:
            await self._run(worker, request, writer)

    async def _refuse(self, worker, request, writer, headers) -> bytes:
        self.refusing.add(worker.name)
        self.record.write(
            f"{worker.name} refuses {request.request_id}: 503 X-Not-Executed"
        )
        answer = site.encode_answer(
            503,
            {
                "X-Attempt-Id": request.request_id,
                "X-Not-Executed": "1",
                **headers,
            },
        )
        writer.write(answer)
        await writer.drain()
        return answer

    async def _run(self, worker, request, writer) -> None:
        self.runs[request.request_id] += 1
        self.record.write(f"{worker.name} runs {request.request_id}")
        await asyncio.sleep(_WORK_S)
        headers = {
            "X-Attempt-Id": request.request_id,
            "X-Server-Stamp": f"stamp-{worker.name}",
        }
        writer.write(site.encode_answer(200, headers, b"booked"))
        await writer.drain()


async def case(record: site.Record) -> bool:
    """Returns whether a call was refused and ran, or ran twice."""
    desk = Desk(record)
    async with site.Site() as place:
        for number in range(3):
            await place.add_worker(f"w{number}", "desk", desk.serve)
        route = site.make_route(
            "/book/", "desk", "unsafe", timeoutMs=1500, maxAttempts=2
        )
        service = {"name": "desk", "healthPath": "/healthz"}
        service["maxConnections"] = 110
        place.configure(site.make_configuration([route], [service]))
        await place.start_gateways()
        gateway = place.gateways[0]
        statuses: dict[str, int] = {}

        async def call(name: str) -> None:
            request = site.make_request(
                "POST", "/book/1", name, deadline_ms=1500, body=b"visit"
            )
            answer = await site.exchange(gateway.host, gateway.port, request)
            statuses[name] = answer.status if answer else 0
            record.write(f"client: {name} is answered {statuses[name]}")

        for number in range(_CALLS_BEFORE):
            await call(f"a{number}")
        # The others become full and ask for a pause.
        desk.others_are_full = True
        while_full = 0
        while not {"w1", "w2"} <= desk.refusing and while_full < 20:
            await call(f"b{while_full}")
            while_full += 1
        desk.refusals_left = 2
        await call("c0")
        await asyncio.sleep(1.0)
        record.write(
            f"answers of the workers: {desk.answers}, copies: {desk.copies}"
        )
        broken = False
        for name, status in statuses.items():
            if desk.runs[name] > 1:
                record.write(f"TWICE: {name} ran {desk.runs[name]} times")
                broken = True
            if status in (408, 421, 429, 503) and desk.runs[name]:
                record.write(f"REFUSED: {name} got {status} and has run")
                broken = True
        return broken


if __name__ == "__main__":
    sys.exit(site.run(case, FOLDER, is_troubled=_IS_TROUBLED))
