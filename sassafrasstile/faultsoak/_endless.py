"""Endpoints whose answers don't end, and the memory of gateways meanwhile."""

import collections
import pathlib
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile import web
from sassafrasstile.faultsoak import _endpoints
from sassafrasstile.faultsoak import _gateways

_MIN_ENDLESS_S = 0.3
_MAX_ENDLESS_S = 1.0
_MEMORY_INTERVAL_S = 0.2
# What an answer sends before it only keeps its connection open.
_PART = b"x" * 65536
_PARTS = 400
_BYTES_PER_KB = 1024
# A gateway buffers one and a half times its limit for all requests. Each byte
# may be there twice while it is passed on.
_MAX_GROWTH_BYTES = 2 * 1.5 * web.DEFAULT_MAX_BUFFERED_BYTES
KINDS = ("body", "event", "head", "hints")


def make_endless(
    request: standins.EndpointRequest, kind: str
) -> standins.EndpointAnswer:
    """Returns an answer that doesn't end.

    Args:
        request: The request.
        kind: What doesn't end, one of `KINDS`.
    """
    hint = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    head = standins.make_answer(request).segments[0].data
    head = head.replace(b"Content-Length: 2\r\n", b"").removesuffix(b"ok")
    begin, part = {
        "body": (head, _PART),
        "event": (head + b"id: 1\ndata: ", _PART),
        "head": (b"HTTP/1.1 200 OK\r\nX-A: ", _PART),
        "hints": (b"", hint * (len(_PART) // len(hint))),
    }[kind]
    segments = [
        standins.Segment(data=item) for item in [begin, *[part] * _PARTS]
    ]
    return standins.EndpointAnswer(segments=segments)


class EndlessFaults:
    """Lets answers of endpoints have no end, and watches gateways' memory.

    Args:
        reactor: The reactor.
        endpoints: The endpoints by name.
        gateways: The gateways.
        generator: The random number generator.
        counts: Counts the faults by name.
        kinds: The kinds of answers.

    Attributes:
        violations: Gateways that took more memory than they may.
    """

    def __init__(
        self,
        *,
        reactor,
        endpoints: dict[str, _endpoints.ScriptedEndpoint],
        gateways: list[_gateways.GatewayProcess],
        generator: random.Random,
        counts: collections.Counter[str],
        kinds: tuple[str, ...] = KINDS,
    ):
        self._reactor = reactor
        self._endpoints = endpoints
        self._gateways = gateways
        self._generator = generator
        self._counts = counts
        self._kinds = kinds
        self.violations: list[str] = []

    async def run(self, until: float) -> None:
        """Injects faults until a time, and returns when they have ended."""
        first_sizes = self._read_sizes()
        largest: collections.Counter[int] = collections.Counter()
        running = [testing.spawn(self._inject(until))]
        while self._reactor.seconds() < until + _MAX_ENDLESS_S:
            largest |= collections.Counter(self._read_sizes())
            await task.deferLater(self._reactor, _MEMORY_INTERVAL_S)
        await defer.gatherResults(running, consumeErrors=False)
        for pid, size in largest.items():
            growth = size - min(first_sizes.values(), default=size)
            if growth > _MAX_GROWTH_BYTES:
                self.violations.append(
                    f"gateway process {pid}: memory grew by {growth} bytes; "
                    f"allowed are {_MAX_GROWTH_BYTES:.0f}"
                )

    async def _inject(self, until: float) -> None:
        while self._reactor.seconds() < until:
            name = self._generator.choice(sorted(self._endpoints))
            endpoint = self._endpoints[name]
            kind = self._generator.choice(self._kinds)
            self._counts[f"endless {kind}"] += 1
            endpoint.replace_answer = lambda request, kind=kind: make_endless(
                request, kind
            )
            await task.deferLater(
                self._reactor,
                self._generator.uniform(_MIN_ENDLESS_S, _MAX_ENDLESS_S),
            )
            endpoint.replace_answer = None
            await task.deferLater(self._reactor, self._generator.random())

    def _read_sizes(self) -> dict[int, int]:
        """Returns the resident memory of each gateway process in bytes."""
        sizes = {}
        for gateway in self._gateways:
            if not gateway.is_running:
                continue
            path = pathlib.Path(f"/proc/{gateway.pid}/status")
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    sizes[gateway.pid] = int(line.split()[1]) * _BYTES_PER_KB
        return sizes
