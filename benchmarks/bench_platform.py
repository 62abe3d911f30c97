"""Measures the processor time and memory of a platform gateway process.

Usage: python benchmarks/bench_platform.py

The gateway runs as a separate process; the stand-ins and the callers run in
this one. The figures come from /proc and cover the gateway only; processor
time has a resolution of one clock tick, usually 10 ms.
"""

import os
import pathlib
import random
import tempfile

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from sassafrasstile import faultsoak
from sassafrasstile import standins
from sassafrasstile import testing

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_IDLE_S = 8.0
_CALLS = 400
_GENERATIONS = 100
_EVENTS = 70


def read_usage(pid):
    """Returns a process's processor seconds and resident megabytes."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    seconds = (int(fields[13]) + int(fields[14])) / _TICKS_PER_S
    return seconds, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def call(port, kind, number):
    target = endpoints.TCP4ClientEndpoint(testing.reactor, "127.0.0.1", port)
    caller = await target.connect(protocol.Factory.forProtocol(testing.Caller))
    caller.send(
        testing.make_request(
            f"/{kind}/",
            request_id=f"{kind}{number}",
            headers=("X-Token-Count: 100,50",),
        )
    )
    return await caller.read_all()


def answer(request):
    if request.headers.get("x-stage") == "prefill":
        return standins.make_handle(request, "h")
    if request.target.startswith("/gen/"):
        return standins.make_stream(request, count=_EVENTS, gap_s=0.01)
    return standins.make_answer(request)


async def measure(label, pid, work, count):
    before, _ = read_usage(pid)
    await work()
    after, _ = read_usage(pid)
    print(f"{label}: {(after - before) / count * 1000:.2f} ms")
    return (after - before) / count


async def bench():
    run = faultsoak.SoakRun(
        reactor=testing.reactor, seed=1, seconds=0, gateways=1
    )
    with tempfile.TemporaryDirectory() as folder:
        run.start(pathlib.Path(folder))
        try:
            await run_workloads(run)
        finally:
            await run.close()


async def run_workloads(run):
    for endpoint in run.endpoints.values():
        endpoint.server.script = answer
    (gateway,) = run.gateways
    case = testing.ReactorTestCase()
    await case.sleep(3.0)
    random.seed(1)
    await measure("idle second", gateway.pid, lambda: case.sleep(_IDLE_S), 8)

    async def send(kind, count, parallel):
        for first in range(0, count, parallel):
            await defer.gatherResults(
                [
                    testing.spawn(call(gateway.port, kind, number))
                    for number in range(first, first + parallel)
                ]
            )

    await measure("call", gateway.pid, lambda: send("once", _CALLS, 4), _CALLS)
    await measure(
        f"generation of {_EVENTS} events",
        gateway.pid,
        lambda: send("gen", _GENERATIONS, 10),
        _GENERATIONS,
    )
    print(f"resident memory: {read_usage(gateway.pid)[1]:.0f} MB")


if __name__ == "__main__":
    testing.run(bench)
