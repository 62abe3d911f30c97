"""Measures the processor time and memory of the processes of each role.

Usage: python benchmarks/bench_roles.py

Runs one gateway, one sidecar per role and the stand-ins as processes, sends
each load at a constant rate and reads the processor time and resident memory
of the gateway and the sidecars from /proc. Prints one JSON object per load,
and finally one per role with its processor time per unit of work.
"""

import json
import os
import pathlib
import time

from twisted.internet import defer
from twisted.web import client

from sassafrasstile import daemons
from sassafrasstile import testing
from sassafrasstile import web

_LOAD_S = 8.0
_ROLES = ("gateway-1", "prefill-1", "decode-1", "service-1")
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# The kind of request, requests per second and tokens per generation.
_LOADS = (
    ("idle", 0, 0),
    ("short", 5, 8),
    ("short", 10, 8),
    ("short", 20, 8),
    ("long", 5, 64),
    ("long", 10, 64),
    ("long", 20, 64),
    ("lookup", 20, 0),
    ("lookup", 40, 0),
    ("booking", 20, 0),
    ("booking", 40, 0),
)


def read_cpu(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * _TICK_S


def read_resident(pid: int) -> int:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES


class Load:
    """Sends requests of one kind at a constant rate.

    Args:
        reactor: The reactor.
        url: The gateway's base URL.

    Attributes:
        tokens: Number of tokens generated, as reported by the gateway.
        completed: Number of requests completed.
    """

    def __init__(self, *, reactor, url: str):
        self._reactor = reactor
        self._http = web.HttpClient(reactor=reactor, base_url=url)
        self._serial = 0
        self.tokens = 0
        self.completed = 0

    async def run(self, kind: str, rate: float, max_tokens: int) -> None:
        if rate == 0:
            await self._sleep(_LOAD_S)
            return
        sent = []
        began_at = self._reactor.seconds()
        for index in range(int(rate * _LOAD_S)):
            wait_s = began_at + index / rate - self._reactor.seconds()
            if wait_s > 0:
                await self._sleep(wait_s)
            sent.append(defer.ensureDeferred(self._send(kind, max_tokens)))
        await defer.gatherResults(sent)

    def _sleep(self, seconds: float) -> defer.Deferred:
        waiting: defer.Deferred = defer.Deferred()
        self._reactor.callLater(seconds, waiting.callback, None)
        return waiting

    async def _send(self, kind: str, max_tokens: int) -> None:
        self._serial += 1
        if kind in ("short", "long"):
            await self._generate(max_tokens)
            return
        headers = {"idempotency-key": f"k{self._serial}", "x-retry-count": "0"}
        method, path = "POST", "/services/desk/bookings"
        if kind == "lookup":
            method, path = "GET", "/services/desk/status"
        body = b"{}" if method == "POST" else None
        response = await self._http.request(
            method, path, body=body, headers=headers
        )
        await client.readBody(response)
        if response.code not in (200, 201):
            raise RuntimeError(f"status {response.code}")
        self.completed += 1

    async def _generate(self, max_tokens: int) -> None:
        body = {
            "model": "writer",
            "prompt": f"{self._serial} " + "x" * 2000,
            "max_tokens": max_tokens,
            "stream": True,
        }
        response = await self._http.request(
            "POST", "/v1/completions", body=json.dumps(body).encode()
        )
        ended: defer.Deferred = defer.Deferred()
        response.deliverBody(
            web.EventStreamReader(
                on_data=self._add_usage, on_end=lambda: ended.callback(None)
            )
        )
        await ended
        self.completed += 1

    def _add_usage(self, data: str) -> None:
        if data != "[DONE]" and "usage" in (body := json.loads(data)):
            self.tokens += body["usage"]["completion_tokens"]


def find_pids(site: testing.ProcessSite) -> dict[str, int]:
    return {role: site.processes[role].pid for role in _ROLES}


async def wait_for_site(reactor, site, load) -> None:
    """Waits until a booking and a generation succeed."""
    while True:
        try:
            await load.run("booking", 1 / _LOAD_S, 0)
            await load.run("short", 1 / _LOAD_S, 8)
            return
        except Exception:
            await load._sleep(0.3)


async def measure(reactor, site: testing.ProcessSite) -> list[dict]:
    load = Load(reactor=reactor, url=site.urls["gateway-1"])
    await wait_for_site(reactor, site, load)
    pids = find_pids(site)
    rows = []
    for kind, rate, max_tokens in _LOADS:
        load.tokens = load.completed = 0
        before = {role: read_cpu(pid) for role, pid in pids.items()}
        began = time.monotonic()
        await load.run(kind, rate, max_tokens)
        took_s = time.monotonic() - began
        row = {
            "kind": kind,
            "rate": rate,
            "seconds": round(took_s, 2),
            "requests": load.completed,
            "tokens": load.tokens,
        }
        for role, pid in pids.items():
            row[f"{role}_cpu_s"] = round(read_cpu(pid) - before[role], 3)
            row[f"{role}_resident_mb"] = round(read_resident(pid) / 1e6, 1)
        print(json.dumps(row), flush=True)
        rows.append(row)
    return rows


def solve_slopes(rows: list[dict], role: str) -> dict:
    """Computes a role's processor time per unit of work from all loads.

    The time of the idle process is subtracted from that of each load.

    Args:
        rows: The rows of all loads.
        role: The name of the role's process.

    Returns:
        The row to print.
    """
    by_kind: dict[str, list[dict]] = {}
    for row in rows:
        by_kind.setdefault(row["kind"], []).append(row)
    cpu_field = f"{role}_cpu_s"
    [idle] = by_kind["idle"]
    idle_rate = idle[cpu_field] / idle["seconds"]

    def total(kind: str, field: str) -> float:
        return sum(row[field] for row in by_kind[kind])

    def subtract_idle(kind: str) -> float:
        return total(kind, cpu_field) - idle_rate * total(kind, "seconds")

    # Generations of two lengths give two linear equations for the time per
    # request and per token: n requests and t tokens took c seconds.
    n1, t1, c1 = (
        total("short", "requests"),
        total("short", "tokens"),
        subtract_idle("short"),
    )
    n2, t2, c2 = (
        total("long", "requests"),
        total("long", "tokens"),
        subtract_idle("long"),
    )
    determinant = n1 * t2 - n2 * t1
    per_request = (c1 * t2 - c2 * t1) / determinant
    per_token = (n1 * c2 - n2 * c1) / determinant
    return {
        "role": role,
        "idle_ms_per_s": round(1000 * idle_rate, 2),
        "ms_per_generation": round(1000 * per_request, 3),
        "ms_per_token": round(1000 * per_token, 4),
        "ms_per_lookup": round(
            1000 * subtract_idle("lookup") / total("lookup", "requests"), 3
        ),
        "ms_per_booking": round(
            1000 * subtract_idle("booking") / total("booking", "requests"), 3
        ),
    }


def main() -> None:
    site = testing.ProcessSite(
        prefills=1, decodes=1, services=1, gateways=1, step_s=0.02
    )
    site.start()

    async def work(reactor):
        rows = await measure(reactor, site)
        for role in _ROLES:
            print(json.dumps(solve_slopes(rows, role)), flush=True)
        return 0

    try:
        daemons.run_until_done(work)
    finally:
        site.close()


if __name__ == "__main__":
    main()
