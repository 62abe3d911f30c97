"""One run: a site of processes, callers, and faults on a seed."""

import collections
import dataclasses
import pathlib
import random
import signal
import tempfile

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _callers
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _proxy
from sassafrasstile.faultsoak import _workers

_START_S = 3.0
_END_S = 8.0
_RELEASE_S = 5.0
# A configuration is in force everywhere within two seconds; the rest is for
# a busy machine.
_IN_FORCE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakReport:
    """What a run has seen.

    Attributes:
        seed: Its seed.
        requests: Requests sent.
        whole: Those that got a whole answer.
        statuses: Answers by HTTP status; zero means none.
        faults: Faults injected, by name.
        violations: Broken promises, one sentence each.
    """

    seed: int
    requests: int
    whole: int
    statuses: dict[int, int]
    faults: dict[str, int]
    violations: list[str]


class SoakRun:
    """Runs gateways as processes and injects faults.

    Args:
        reactor: The reactor.
        seed: The seed of all random numbers.
        seconds: How long callers send.
        gateways: How many gateways.
        faults: False for a calm run.
    """

    def __init__(
        self,
        *,
        reactor,
        seed: int,
        seconds: float,
        gateways: int = 3,
        faults: bool = True,
    ):
        self._reactor = reactor
        self._seed = seed
        self._seconds = seconds
        self._count = gateways
        self._has_faults = faults
        self._generator = random.Random(seed)
        self._ledger = _workers.WorkLedger()
        self._server = standins.PlatformStoreServer(reactor=reactor)
        self.workers: dict[str, _workers.SoakWorker] = {}
        self._proxies: dict[str, _proxy.FaultProxy] = {}
        self.gateways: list[_gateways.GatewayProcess] = []
        self._faults: collections.Counter[str] = collections.Counter()
        self._running: list[defer.Deferred] = []

    async def run(self) -> SoakReport:
        """Runs to the end and reports."""
        with tempfile.TemporaryDirectory() as folder:
            self.start(pathlib.Path(folder))
            try:
                return await self._drive()
            finally:
                await self.close()

    async def _drive(self) -> SoakReport:
        crowd = _callers.CallerCrowd(
            reactor=self._reactor,
            gateways=self.gateways,
            generator=self._generator,
        )
        await self._sleep(_START_S)
        crowd.until = self._reactor.seconds() + self._seconds
        sending = testing.spawn(crowd.run())
        while self._reactor.seconds() < crowd.until:
            await self._sleep(0.2 + self._generator.random())
            if self._has_faults:
                self._inject()
        await sending
        await defer.gatherResults(self._running, consumeErrors=False)
        await self._sleep(_END_S)
        crowd.check_runs(self._ledger.runs)
        self._configure(2, "/new/")
        await self._sleep(_IN_FORCE_S)
        await crowd.check_route("/new/")
        await self._check_release(crowd)
        return SoakReport(
            seed=self._seed,
            requests=len(crowd.outcomes),
            whole=sum(item.is_whole for item in crowd.outcomes.values()),
            statuses=dict(crowd.statuses),
            faults=dict(self._faults),
            violations=crowd.violations,
        )

    async def _check_release(self, crowd: _callers.CallerCrowd) -> None:
        """Checks that gateways end on SIGTERM and hold no engine then."""
        if crowd.in_flight:
            crowd.violations.append(f"{crowd.in_flight} never answered")
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        await self._sleep(_RELEASE_S)
        for gateway in self.gateways:
            if gateway.is_running or gateway.exit_code != 0:
                crowd.violations.append(
                    f"{gateway.name} ended with {gateway.exit_code}"
                )
        for name, worker in self.workers.items():
            if worker.endpoint.connections:
                crowd.violations.append(f"{name} is still held")

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    # The site.

    def start(self, folder: pathlib.Path) -> None:
        """Starts the store, the endpoints and the gateways."""
        self._server.start()
        stages = {"desk": None, "d": "decode", "p": "prefill"}
        for kind, stage in stages.items():
            for number in range(2):
                self._add_worker(f"{kind}{number}", stage)
        self._configure(1)
        for number in range(self._count):
            proxy = self._make_proxy(self._server.host, self._server.port)
            self._proxies[f"store{number}"] = proxy
            gateway = _gateways.GatewayProcess(
                name=f"g{number}", folder=folder, store_port=proxy.port
            )
            gateway.start()
            self.gateways.append(gateway)

    def _make_proxy(self, host: str, port: int) -> _proxy.FaultProxy:
        proxy = _proxy.FaultProxy(reactor=self._reactor, host=host, port=port)
        proxy.start()
        return proxy

    def _add_worker(self, name: str, stage: str | None) -> None:
        worker = _workers.SoakWorker(
            reactor=self._reactor,
            ledger=self._ledger,
            generator=self._generator,
            stage=stage,
        )
        worker.endpoint.start()
        proxy = self._make_proxy(worker.endpoint.host, worker.endpoint.port)
        self.workers[name] = worker
        self._proxies[name] = proxy
        self._server.store.put_json(
            "keyed.servers",
            name,
            testing.make_endpoint_document(
                port=proxy.port,
                service="writer" if stage else "desk",
                stage=stage,
            ),
        )

    def _configure(self, version: int, *added: str) -> None:
        """Writes a configuration.

        Args:
            version: Its version.
            added: Paths of routes beyond the usual ones.
        """
        routes = [
            testing.make_platform_route("/once/", "desk", "unsafe"),
            testing.make_platform_route(
                "/again/", "desk", "safe", maxAttempts=2
            ),
            testing.make_platform_route(
                "/gen/", "writer", "streaming", targetGapMs=300
            ),
            *(
                testing.make_platform_route(path, "desk", "unsafe")
                for path in added
            ),
        ]
        self._server.store.put_json(
            "keyed.op",
            "config",
            testing.make_configuration_document(version=version, routes=routes),
        )

    async def close(self) -> None:
        """Ends every process and server."""
        for gateway in self.gateways:
            gateway.close()
        for proxy in self._proxies.values():
            await defer.maybeDeferred(proxy.close)
        for worker in self.workers.values():
            await defer.maybeDeferred(worker.endpoint.close)
        await defer.maybeDeferred(self._server.close)

    # The faults.

    def _inject(self) -> None:
        faults = (
            self._kill,
            self._pause,
            self._stop,
            self._reset_link,
            self._silence_link,
            self._delay_link,
            self._fail_worker,
            self._fail_store,
        )
        fault = self._generator.choice(faults)
        self._faults[fault.__name__.lstrip("_")] += 1
        self._running.append(testing.spawn(fault()))

    def _choose_gateway(self) -> _gateways.GatewayProcess:
        return self._generator.choice(self.gateways)

    def _choose_proxy(self) -> _proxy.FaultProxy:
        name = self._generator.choice(sorted(self._proxies))
        return self._proxies[name]

    async def _kill(self) -> None:
        gateway = self._choose_gateway()
        gateway.send(signal.SIGKILL)
        await self._restart(gateway)

    async def _stop(self) -> None:
        gateway = self._choose_gateway()
        gateway.send(signal.SIGTERM)
        await self._restart(gateway)

    async def _restart(self, gateway: _gateways.GatewayProcess) -> None:
        while gateway.is_running:
            await self._sleep(0.1)
        await self._sleep(0.3)
        if not gateway.is_running:
            gateway.start()

    async def _pause(self) -> None:
        gateway = self._choose_gateway()
        gateway.send(signal.SIGSTOP)
        await self._sleep(0.5 + 3 * self._generator.random())
        gateway.send(signal.SIGCONT)

    async def _reset_link(self) -> None:
        self._choose_proxy().reset()

    async def _silence_link(self) -> None:
        proxy = self._choose_proxy()
        proxy.is_silent = True
        await self._sleep(0.5 + 3 * self._generator.random())
        proxy.is_silent = False
        proxy.reset()

    async def _delay_link(self) -> None:
        proxy = self._choose_proxy()
        proxy.delay_s = 0.3 * self._generator.random()
        await self._sleep(2.0)
        proxy.delay_s = 0.0

    async def _fail_worker(self) -> None:
        name = self._generator.choice(sorted(self.workers))
        self.workers[name].fails = 0.4
        await self._sleep(2.0)
        self.workers[name].fails = 0.0

    async def _fail_store(self) -> None:
        store = self._server.store
        store.outage = self._generator.choice(("busy", "reset", "silent"))
        await self._sleep(0.5 + 3 * self._generator.random())
        store.outage = ""
