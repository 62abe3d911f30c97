"""A complete site in one process: stand-ins, sidecars and gateways."""

import random

from twisted.internet import defer

from sassafrasstile import daemons
from sassafrasstile import settings
from sassafrasstile import standins

MODEL = "writer"
SERVICE = "desk"
_ANY_PORT = "127.0.0.1:0"
_POLL_INTERVAL_S = 0.02
_CONNECT_TIMEOUT_S = 10.0


class LocalSite:
    """Runs a site on one event loop, on ports that the operating system picks.

    Args:
        reactor: The reactor; one on asyncio's loop.
        prefills: The number of prefill endpoints.
        decodes: The number of decode endpoints.
        services: The number of service endpoints.
        gateways: The number of gateways.
        speed: The speed of each engine.
        seed: The seed of the gateways' random generators.
    """

    def __init__(
        self,
        *,
        reactor,
        prefills: int = 2,
        decodes: int = 2,
        services: int = 2,
        gateways: int = 2,
        speed: standins.EngineSpeed | None = None,
        seed: int = 1,
    ):
        self._reactor = reactor
        self._counts = {
            "prefill": prefills,
            "decode": decodes,
            "service": services,
        }
        self._gateway_count = gateways
        self._speed = speed or standins.EngineSpeed()
        self._generator = random.Random(seed)
        self.engines: dict[str, standins.EngineServer] = {}
        self.services: dict[str, standins.ServiceServer] = {}
        self.sidecars: dict[str, daemons.SidecarDaemon] = {}
        self.gateways: list[daemons.GatewayDaemon] = []
        self.log = standins.LogServer(reactor=reactor)
        self.vms = standins.VmsServer(reactor=reactor)
        self.site: settings.Site | None = None

    async def start(self) -> None:
        """Starts the site and waits until every link is connected."""
        self.log.start()
        self.vms.start()
        endpoints = {
            f"{role}-{index}": self._start_endpoint(role, index)
            for role, count in self._counts.items()
            for index in range(1, count + 1)
        }
        tree = self._make_settings(endpoints)
        initial_site = settings.check_tree(tree)
        for name in endpoints:
            daemon = daemons.SidecarDaemon(
                reactor=self._reactor, name=name, site=initial_site
            )
            await daemon.start()
            self.sidecars[name] = daemon
            endpoints[name]["sidecar"] = f"127.0.0.1:{daemon.port}"
        self.site = settings.check_tree(tree)
        for name in self.site.gateways:
            self.gateways.append(self._start_gateway(name))
        await self._wait_for_links()

    def _start_endpoint(self, role: str, index: int) -> dict:
        name = f"{role}-{index}"
        if role == "service":
            server = standins.ServiceServer(reactor=self._reactor)
            self.services[name] = server
        else:
            server = standins.EngineServer(
                reactor=self._reactor, speed=self._speed
            )
            self.engines[name] = server
        server.start()
        speed = self._speed
        return {
            "role": role,
            "serves": SERVICE if role == "service" else MODEL,
            "sidecar": _ANY_PORT,
            "admin": _ANY_PORT,
            "url": server.url,
            "zone": f"zone-{'abc'[index % 3]}",
            "vm": f"vm-{name}",
            "limits": {
                "slots": speed.slots,
                "pieces": speed.pieces,
                "tokens_per_piece": speed.tokens_per_piece,
                "prefill_ttl_s": speed.prefill_ttl_s,
            },
        }

    def _make_settings(self, endpoints: dict) -> dict:
        process = {"http": _ANY_PORT, "admin": _ANY_PORT}
        return {
            "site": {"name": "local"},
            "log": {"url": self.log.url},
            "liveness": {"url": self.vms.url},
            "stop": {"notice_s": 0.1, "grace_s": 60},
            "workspaces": {"callers": {}, "writers": {"deferred": True}},
            "models": {MODEL: {}},
            "services": {
                SERVICE: {
                    "rules": [
                        {"method": "GET", "repeatable": True, "limit_s": 5},
                        {"path": "/bookings", "repeatable": False},
                    ]
                }
            },
            "gateways": {
                f"gateway-{index}": process
                for index in range(1, self._gateway_count + 1)
            },
            "endpoints": endpoints,
        }

    def _start_gateway(self, name: str) -> daemons.GatewayDaemon:
        daemon = daemons.GatewayDaemon(
            reactor=self._reactor,
            name=name,
            site=self.site,
            generator=random.Random(self._generator.random()),
        )
        daemon.start()
        return daemon

    async def _wait_for_links(self) -> None:
        deadline = self._reactor.seconds() + _CONNECT_TIMEOUT_S
        while not all(daemon.is_connected() for daemon in self.gateways):
            if self._reactor.seconds() > deadline:
                raise TimeoutError(
                    f"the links weren't connected after {_CONNECT_TIMEOUT_S} s"
                )
            waiting: defer.Deferred = defer.Deferred()
            self._reactor.callLater(_POLL_INTERVAL_S, waiting.callback, None)
            await waiting

    def list_urls(self) -> list[str]:
        """Returns the gateways' base URLs for callers."""
        return [f"http://127.0.0.1:{gateway.port}" for gateway in self.gateways]

    def count_held_requests(self) -> int:
        """Returns the number of requests that hold engine memory."""
        return sum(
            engine.model.count_used_slots() for engine in self.engines.values()
        )

    async def close(self) -> None:
        """Closes the gateways, sidecars and stand-ins."""
        for daemon in [*self.gateways, *self.sidecars.values()]:
            await daemon.close()
        servers = [*self.engines.values(), *self.services.values()]
        for server in [*servers, self.log, self.vms]:
            await defer.maybeDeferred(server.close)
