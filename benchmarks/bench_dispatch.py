"""Measures the processor time of the platform gateway's dispatch decisions.

Usage: python benchmarks/bench_dispatch.py

Prints the microseconds of each operation, as the minimum of five rounds, by
the number of engines and peers, and the size of a load report. Nothing here
does I/O.
"""

import random
import time

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import routes
from sassafrasstile.peers import _codec

_ROUNDS = 5
_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=64,
        capacity_tokens=50_000,
        tokens_per_event=7,
        handle_ttl_s=0.5,
    ),
)
_SIZE = dispatch.WorkSize(prompt_tokens=5000, output_tokens=500)


def make_table(engines, gateways):
    table = dispatch.EndpointTable(silence_timeout_s=1.0)
    for number in range(engines):
        role = membership.Role.DECODE
        if number % 5 == 0:
            role = membership.Role.PREFILL
        name = f"i-{number:010d}"
        table.update_record(
            name,
            membership.EndpointRecord(
                endpoint_id=name,
                started_ms=1,
                service="engine",
                host="127.0.0.1",
                port=1,
                zone=f"z{number % 4}",
                role=role,
                state=membership.EndpointState.READY,
                slots=64,
            ),
        )
    generator = random.Random(1)
    for number in range(gateways):
        table.update_peer_loads(
            f"g{number}", make_loads(engines, generator), 0.0
        )
    return table


def make_loads(engines, generator):
    chosen = generator.sample(range(engines), min(engines, 4))
    return {
        f"i-{number:010d}": peers.EndpointLoad(
            in_flight=1, reserved_tokens=5500
        )
        for number in chosen
    }


def measure(label, work, count):
    best = float("inf")
    for _ in range(_ROUNDS):
        began = time.process_time()
        for _ in range(count):
            work()
        best = min(best, time.process_time() - began)
    print(f"{label}: {best / count * 1e6:.0f} us")


def bench_grant(engines, gateways):
    table = make_table(engines, gateways)
    queue = dispatch.GenerationQueue(
        placement=dispatch.Placement(
            endpoints=table, zone="z0", generator=random.Random(1)
        )
    )

    def grant():
        queue.add(
            service=_SERVICE, size=_SIZE, target_at=1.0, wait_deadline=2.0
        )
        for waiter in queue.admit(0.0):
            waiter.grant.release()

    measure(f"grant, {engines} engines, {gateways} peers", grant, 200)


def bench_reports(engines):
    loads = make_loads(engines, random.Random(2))
    report = peers.LoadReport(
        sender=peers.PeerAddress(name="gateway-1", host="10.1.0.1", port=7380),
        incarnation="0123456789ab",
        sequence=1000,
        is_complete=False,
        loads=loads,
    )
    data = _codec.encode_report(report)
    print(f"report of {len(loads)} endpoints: {len(data)} bytes")
    measure("encode a report", lambda: _codec.encode_report(report), 2000)
    measure("decode a report", lambda: _codec.decode_report(data), 2000)
    table = make_table(engines, 0)
    measure(
        f"note a report, {engines} engines",
        lambda: table.update_peer_loads("g", loads, 0.0),
        500,
    )


def main():
    for engines, gateways in ((9, 4), (24, 25), (75, 40), (600, 359)):
        bench_grant(engines, gateways)
    for engines in (24, 600):
        bench_reports(engines)


if __name__ == "__main__":
    main()
