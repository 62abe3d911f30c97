"""Measures the memory and processor time that links cost a gateway.

Usage: python benchmarks/bench_links.py

A child process runs the servers of the links; this process runs the clients
and measures itself. Prints one JSON object per row, with resident memory in
bytes and processor time in seconds, and finally the slopes per idle link and
per message pair.
"""

import asyncio
import json
import pathlib
import random
import statistics
import subprocess
import sys
import time

from sassafrasstile import messages
from sassafrasstile import wire

_IDLE_S = 3.0
_BATCHES = 2000
_PAGE_BYTES = 4096


def read_resident() -> int:
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def make_batch(ready: tuple[messages.Message, ...]) -> messages.Batch:
    return messages.Batch(
        sender="gateway-101",
        incarnation="0123456789ab",
        target="ba9876543210",
        sent_at=12345.678,
        load=messages.Load(slots=20, free_slots=7),
        messages=ready,
    )


class EchoServer:
    """Sends each message back to its sender."""

    def __init__(self):
        self.link = wire.LinkServer(
            make_batch=make_batch, on_batch=self.receive
        )

    def receive(self, batch: messages.Batch) -> None:
        for message in batch.messages:
            self.link.send(batch.sender, message)


async def serve(count: int) -> None:
    servers = [EchoServer() for _ in range(count)]
    ports = [
        await server.link.start(host="127.0.0.1", port=0) for server in servers
    ]
    print(json.dumps(ports), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


class Client:
    """Exchanges messages over one link and counts those received."""

    def __init__(self, port: int):
        self.count = 0
        self.is_connected = asyncio.Event()
        self.has_received = asyncio.Event()
        self.link = wire.LinkClient(
            peer=f"endpoint-{port}",
            host="127.0.0.1",
            port=port,
            make_batch=make_batch,
            on_connect=self.is_connected.set,
            on_batch=self.receive,
            on_disconnect=self.is_connected.clear,
            generator=random.Random(port),
        )

    def receive(self, batch: messages.Batch) -> None:
        self.count += len(batch.messages)
        if batch.messages:
            self.has_received.set()

    async def exchange(self, ready: list[messages.Message]) -> None:
        expected = self.count + len(ready)
        for message in ready:
            self.link.send(message)
        while self.count < expected:
            self.has_received.clear()
            await self.has_received.wait()


async def connect(ports: list[int]) -> list[Client]:
    clients = [Client(port) for port in ports]
    for client in clients:
        client.link.start()
    for client in clients:
        await client.is_connected.wait()
    return clients


async def measure_idle(ports: list[int]) -> dict:
    clients = await connect(ports)
    await asyncio.sleep(1.0)
    began = time.process_time()
    await asyncio.sleep(_IDLE_S)
    row = {
        "bench": "idle_links",
        "links": len(ports),
        "resident_bytes": read_resident(),
        "idle_cpu_s_per_s": (time.process_time() - began) / _IDLE_S,
    }
    for client in clients:
        await client.link.close()
    return row


async def measure_batches(port: int, size: int) -> dict:
    [client] = await connect([port])
    pieces = messages.Pieces(
        request_id="workspace-17/req-0123456789abcdef0123456789abcdef",
        attempt=123456,
        offset=40,
        texts=(" token",),
    )
    ready = [pieces] * size
    await client.exchange(ready)
    began = time.process_time()
    for _ in range(_BATCHES):
        await client.exchange(ready)
    used_s = time.process_time() - began
    await client.link.close()
    return {
        "bench": "batches",
        "messages_each_way": size,
        "cpu_s_per_batch_pair": used_s / _BATCHES,
        "batch_bytes": wire.encode(make_batch(tuple(ready))).ByteSize(),
    }


def fit_slope(points: list[tuple[float, float]]) -> float:
    xs, ys = zip(*points, strict=True)
    return statistics.linear_regression(xs, ys).slope


async def measure(ports: list[int]) -> None:
    idle = []
    for count in (1, 50, 100, 200):
        row = await measure_idle(ports[:count])
        print(json.dumps(row), flush=True)
        idle.append(row)
    batches = []
    for size in (1, 2, 4, 8, 16):
        row = await measure_batches(ports[0], size)
        print(json.dumps(row), flush=True)
        batches.append(row)
    slopes = {
        "bytes_per_idle_link": fit_slope(
            [(row["links"], row["resident_bytes"]) for row in idle]
        ),
        "cpu_s_per_message_pair": fit_slope(
            [
                (row["messages_each_way"], row["cpu_s_per_batch_pair"])
                for row in batches
            ]
        ),
        "cpu_s_per_batch_of_one_pair": batches[0]["cpu_s_per_batch_pair"],
    }
    print(json.dumps({"bench": "slopes", **slopes}), flush=True)


def main() -> None:
    if sys.argv[1:2] == ["serve"]:
        asyncio.run(serve(int(sys.argv[2])))
        return
    child = subprocess.Popen(
        [sys.executable, __file__, "serve", "200"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        asyncio.run(measure(json.loads(child.stdout.readline())))
    finally:
        child.kill()
        child.wait()


if __name__ == "__main__":
    main()
