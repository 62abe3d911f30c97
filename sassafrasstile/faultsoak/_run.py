"""Runs gateway processes and callers, and injects faults from a seed."""

import collections
from collections.abc import Sequence
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
from sassafrasstile.faultsoak import _deadly_prompts
from sassafrasstile.faultsoak import _endless
from sassafrasstile.faultsoak import _endpoints
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _keys
from sassafrasstile.faultsoak import _notice_faults
from sassafrasstile.faultsoak import _notice_log
from sassafrasstile.faultsoak import _proxy
from sassafrasstile.faultsoak import _restores
from sassafrasstile.faultsoak import _silences
from sassafrasstile.faultsoak import _stated_rates
from sassafrasstile.faultsoak import _versions

# A busy machine takes its time to start the gateways.
_MAX_STARTUP_S = 30.0
_POLL_INTERVAL_S = 0.1
# Then they read the store and find each other.
_STARTUP_WAIT_S = 3.0
_SETTLE_WAIT_S = 8.0
_SHUTDOWN_WAIT_S = 5.0
# Every gateway applies a configuration within two seconds. The extra second
# allows for a busy machine.
_CONFIG_APPLY_WAIT_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakReport:
    """The results of a run.

    Attributes:
        seed: The seed of the run.
        requests: The number of requests sent.
        whole: The number of requests with a complete answer.
        statuses: The number of answers by HTTP status; zero means no answer.
        faults: The number of injected faults by name.
        streams: How often streams began, went on in another attempt of their
            caller, and were refused.
        notices: The number of answers that restricted what their endpoint may
            be sent.
        silenced: The number of streams that a silence of their engine checked.
        prompts: How often deadly and sound prompts ended with each status,
            and how often engines crashed.
        keys: How often requests with keys ended with each status, and how
            often a gateway was cut off from the store for long.
        violations: The violated guarantees, one sentence each.
    """

    seed: int
    requests: int
    whole: int
    statuses: dict[int, int]
    faults: dict[str, int]
    streams: dict[str, int]
    notices: int
    silenced: int
    prompts: dict[str, int]
    keys: dict[str, int]
    violations: list[str]


class SoakRun:
    """Runs gateways as processes, sends requests and injects faults.

    Args:
        reactor: The reactor.
        seed: The seed of all random numbers.
        seconds: How long callers send requests.
        gateways: The number of gateways.
        faults: Whether to disturb processes, links and the store.
        notices: Whether endpoints leave and shed load.
        silences: Whether engines fall silent for about a second and go on.
        endless: Whether answers of endpoints have no end.
        crashes: Whether engines crash under some prompts.
        rates: Whether endpoints name the rate that they take.
        keys: Whether the site has workspaces, and keys are withdrawn.
        cuts: Whether gateways are cut off from the store meanwhile for longer
            than the bound on withdrawn keys.
        arguments: The interpreter's arguments that start a gateway.
        states_epoch: Whether the store's answers show when it was restored.
        logs: An existing folder for the gateways' logs; without it, they are
            deleted.
    """

    def __init__(
        self,
        *,
        reactor,
        seed: int,
        seconds: float,
        gateways: int = 3,
        faults: bool = True,
        notices: bool = True,
        silences: bool = True,
        endless: bool = False,
        crashes: bool = True,
        rates: bool = True,
        keys: bool = False,
        cuts: bool = False,
        arguments: Sequence[str] = _gateways.ARGUMENTS,
        states_epoch: bool = True,
        logs: pathlib.Path | None = None,
    ):
        self._reactor = reactor
        self._logs = logs
        self._seed = seed
        self._seconds = seconds
        self._gateway_count = gateways
        self._has_faults = faults
        self._has_notices = notices
        self._has_silences = silences
        self._has_endless = endless
        self._has_crashes = crashes
        self._has_rates = rates
        self._has_keys = keys
        self._has_cuts = cuts
        self._generator = random.Random(seed)
        self._notice_generator = random.Random(f"notices {seed}")
        self._notice_log = _notice_log.NoticeLog()
        self._starts: collections.Counter[str] = collections.Counter()
        self._execution_log = _endpoints.ExecutionLog()
        self._arguments = arguments
        self._store_server = standins.PlatformStoreServer(reactor=reactor)
        if not states_epoch:
            self._store_server.store.stated_era = ""
        self.endpoints: dict[str, _endpoints.ScriptedEndpoint] = {}
        self._proxies: dict[str, _proxy.FaultProxy] = {}
        self._silent_engines: _silences.SilentEngines | None = None
        self.gateways: list[_gateways.GatewayProcess] = []
        self._returning = _versions.ReturningCallers(
            reactor=reactor, gateways=self.gateways, seed=seed
        )
        self._endless_faults: _endless.EndlessFaults | None = None
        self._deadly_prompts = _deadly_prompts.DeadlyPrompts(
            reactor=reactor,
            gateways=self.gateways,
            notices=self._notice_log,
            seed=seed,
        )
        self._stated_rates = _stated_rates.StatedRates(
            reactor=reactor,
            gateways=self.gateways,
            notices=self._notice_log,
            seed=seed,
        )
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._running_faults: list[defer.Deferred] = []
        self._restores = _restores.StoreRestores(
            reactor=reactor,
            seed=seed,
            store=self._store_server.store,
            gateways=self.gateways,
            publish=self._configure,
            on_rewrite=lambda since: self._keys.delay_withdrawals(since),
        )
        self._keys = _keys.KeyCallers(
            reactor=reactor,
            gateways=self.gateways,
            proxies=lambda: [
                proxy
                for name, proxy in sorted(self._proxies.items())
                if name.startswith("store")
            ],
            publish=self._restores.publish_next,
            seed=seed,
        )

    async def run(self) -> SoakReport:
        """Runs the site to the end and returns the report."""
        with tempfile.TemporaryDirectory() as folder:
            self.start(self._logs or pathlib.Path(folder))
            try:
                return await self._send_and_check()
            finally:
                await self.close()

    async def _wait_for_gateways(self) -> None:
        deadline = self._reactor.seconds() + _MAX_STARTUP_S
        while self._reactor.seconds() < deadline and not all(
            gateway.accepts_callers() for gateway in self.gateways
        ):
            await self._sleep(_POLL_INTERVAL_S)
        await self._sleep(_STARTUP_WAIT_S)

    async def _send_and_check(self) -> SoakReport:
        callers = _callers.Callers(
            reactor=self._reactor,
            gateways=self.gateways,
            generator=self._generator,
        )
        await self._wait_for_gateways()
        silent_engines = self._silent_engines
        if self._has_silences:
            await silent_engines.check()
        callers.stop_sending_at = self._reactor.seconds() + self._seconds
        sending = testing.spawn(callers.run())
        returning = testing.spawn(self._returning.run(callers.stop_sending_at))
        if self._has_faults:
            self._start_restores(callers.stop_sending_at)
        if self._has_notices:
            self._running_faults.append(self._start_notice_faults(callers))
        if self._has_endless:
            self._running_faults.append(
                self._start_endless_faults(callers.stop_sending_at)
            )
        if self._has_silences:
            silencing = silent_engines.run(callers.stop_sending_at)
            self._running_faults.append(testing.spawn(silencing))
        # These go on after the end of the other faults.
        prompting = defer.succeed(None)
        if self._has_crashes:
            ends_at = callers.stop_sending_at + _SETTLE_WAIT_S
            prompting = testing.spawn(self._deadly_prompts.run(ends_at))
        calling = defer.succeed(None)
        if self._has_rates:
            ends_at = callers.stop_sending_at + _SETTLE_WAIT_S
            calling = testing.spawn(self._stated_rates.run(ends_at))
        keying = defer.succeed(None)
        if self._has_keys:
            keying = self._start_keys(callers.stop_sending_at)
        while self._reactor.seconds() < callers.stop_sending_at:
            await self._sleep(0.2 + self._generator.random())
            if self._has_faults:
                self._inject_fault()
        await sending
        await returning
        await defer.gatherResults(self._running_faults, consumeErrors=False)
        await self._sleep(_SETTLE_WAIT_S)
        await prompting
        await calling
        await keying
        callers.check_executions(self._execution_log.counts)
        callers.violations.extend(self._notice_log.check(callers.outcomes))
        await self._restores.publish_at_reused_offsets("/new/")
        await self._restores.check_departure(
            self._reactor.seconds() + _CONFIG_APPLY_WAIT_S
        )
        await callers.check_route("/new/")
        await self._check_shutdown(callers)
        self._fault_counts["restore"] = self._restores.restores
        return SoakReport(
            seed=self._seed,
            requests=len(callers.outcomes),
            whole=sum(
                outcome.is_complete for outcome in callers.outcomes.values()
            ),
            statuses=dict(callers.statuses),
            faults=dict(self._fault_counts),
            streams=dict(self._returning.counts),
            notices=len(self._notice_log.notices),
            silenced=silent_engines.checked,
            prompts=dict(self._deadly_prompts.count()),
            keys=self._keys.count(),
            violations=[
                *callers.violations,
                *self._returning.violations,
                *silent_engines.violations,
                *self._restores.violations,
                *(
                    self._endless_faults.violations
                    if self._endless_faults
                    else ()
                ),
                *self._deadly_prompts.check(),
                *self._stated_rates.check(),
                *self._keys.check(),
            ],
        )

    def _start_keys(self, until: float) -> defer.Deferred:
        """Has keys withdrawn until a time, and requests with them sent."""
        keying = [self._keys.run(until), self._keys.withdraw(until)]
        if self._has_cuts:
            keying.append(self._keys.cut_off(until))
        return defer.gatherResults(
            list(map(testing.spawn, keying)), consumeErrors=False
        )

    def _start_restores(self, until: float) -> None:
        self._running_faults.append(testing.spawn(self._restores.run(until)))
        self._running_faults.append(testing.spawn(self._restores.watch(until)))

    async def _check_shutdown(self, callers: _callers.Callers) -> None:
        """Checks that gateways exit on SIGTERM and close every connection."""
        if callers.in_flight:
            callers.violations.append(
                f"{callers.in_flight} requests never ended"
            )
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        await self._sleep(_SHUTDOWN_WAIT_S)
        for gateway in self.gateways:
            if gateway.is_running or gateway.exit_code != 0:
                callers.violations.append(
                    f"{gateway.name}: exit code {gateway.exit_code} after "
                    "SIGTERM"
                )
        for name, endpoint in self.endpoints.items():
            if endpoint.server.connections:
                callers.violations.append(f"{name} still has connections")

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    # Processes and servers.

    def start(self, folder: pathlib.Path) -> None:
        """Starts the store, the endpoints and the gateways."""
        self._store_server.start()
        stages = {"desk": None, "d": "decode", "p": "prefill"}
        for kind, stage in stages.items():
            for number in range(2):
                self._add_endpoint(f"{kind}{number}", stage)
        self._returning.start(self._store_server)
        self._deadly_prompts.start(self._store_server)
        self._stated_rates.start(self._store_server)
        if self._has_keys:
            self._keys.start(self._store_server)
        self._restores.start()
        self._silent_engines = _silences.SilentEngines(
            reactor=self._reactor,
            gateways=self.gateways,
            proxies=[self._proxies["d0"], self._proxies["d1"]],
            seed=self._seed,
        )
        self._silent_engines.start(self._store_server)
        self._configure(1)
        for number in range(self._gateway_count):
            proxy = self._make_proxy(
                f"store{number}",
                self._store_server.host,
                self._store_server.port,
            )
            self._proxies[f"store{number}"] = proxy
            gateway = _gateways.GatewayProcess(
                name=f"g{number}",
                folder=folder,
                store_port=proxy.port,
                arguments=self._arguments,
                bounds=_keys.BOUNDS if self._has_keys else {},
            )
            gateway.start()
            self.gateways.append(gateway)

    def _make_proxy(self, name: str, host: str, port: int) -> _proxy.FaultProxy:
        proxy = _proxy.FaultProxy(
            reactor=self._reactor, name=name, host=host, port=port
        )
        proxy.start()
        return proxy

    def _add_endpoint(self, name: str, stage: str | None) -> None:
        endpoint = _endpoints.ScriptedEndpoint(
            reactor=self._reactor,
            execution_log=self._execution_log,
            generator=self._generator,
            stage=stage,
            name=name,
            notices=self._notice_log,
            notice_generator=self._notice_generator,
        )
        endpoint.server.start()
        self.endpoints[name] = endpoint
        self._proxies[name] = self._make_proxy(
            name, endpoint.server.host, endpoint.server.port
        )
        self._announce_instance(name)

    def _announce_instance(self, name: str) -> None:
        """Announces a new instance of an endpoint, with the same address."""
        stage = self.endpoints[name].stage
        self._starts[name] += 1
        self._notice_log.end_notices(name, self._reactor.seconds())
        self._store_server.store.put_json(
            "keyed.servers",
            name,
            testing.make_endpoint_document(
                port=self._proxies[name].port,
                service="writer" if stage else "desk",
                stage=stage,
                born=self._starts[name],
            ),
        )

    def _configure(self, version: int, *extra_paths: str) -> None:
        """Publishes a configuration.

        Args:
            version: The version of the configuration.
            *extra_paths: Paths of additional routes.
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
                testing.make_platform_route(
                    module.PATH,
                    module.SERVICE,
                    "streaming",
                    targetGapMs=300,
                    resumable=True,
                    maxAttempts=3,
                )
                for module in (_versions, _deadly_prompts)
            ),
            testing.make_platform_route(
                _restores.SPARE_PATH, _restores.SPARE_SERVICE, "safe"
            ),
            testing.make_platform_route(
                _stated_rates.PATH, _stated_rates.SERVICE, "safe", maxAttempts=2
            ),
            *(
                testing.make_platform_route(
                    path,
                    service,
                    "streaming",
                    targetGapMs=300,
                    resumable=True,
                    maxAttempts=2,
                    timeoutMs=20000,
                )
                for path, service in (
                    (_silences.SHARED_PATH, "writer"),
                    (_silences.SINGLE_PATH, _silences.SINGLE_SERVICE),
                )
            ),
            *(
                testing.make_platform_route(path, "desk", "unsafe")
                for path in extra_paths
            ),
        ]
        workspaces = []
        if self._has_keys:
            # The other callers show no key.
            routes = [{**item, "public": True} for item in routes]
            routes.append(self._keys.make_route())
            workspaces = self._keys.make_workspaces()
        document = testing.make_configuration_document(
            version=version, routes=routes, workspaces=workspaces
        )
        (writer,) = (
            item for item in document["services"] if item["name"] == "writer"
        )
        document["services"].extend(
            {**writer, "name": name}
            for name in (
                _versions.SERVICE,
                _silences.SINGLE_SERVICE,
                _deadly_prompts.SERVICE,
                _keys.SERVICE,
            )
        )
        self._store_server.store.put_json("keyed.op", "config", document)

    async def close(self) -> None:
        """Stops every process and server."""
        for gateway in self.gateways:
            gateway.close()
        for proxy in self._proxies.values():
            await defer.maybeDeferred(proxy.close)
        for endpoint in self.endpoints.values():
            await defer.maybeDeferred(endpoint.server.close)
        await self._returning.close()
        await self._deadly_prompts.close()
        await self._stated_rates.close()
        if self._has_keys:
            await self._keys.close()
        await self._restores.close()
        await self._silent_engines.close()
        await defer.maybeDeferred(self._store_server.close)

    # Faults.

    def _start_notice_faults(self, callers: _callers.Callers):
        faults = _notice_faults.NoticeFaults(
            reactor=self._reactor,
            endpoints=self.endpoints,
            replace=self._announce_instance,
            generator=self._notice_generator,
            counts=self._fault_counts,
        )
        return testing.spawn(faults.run(callers.stop_sending_at))

    def _start_endless_faults(self, until: float) -> defer.Deferred:
        self._endless_faults = _endless.EndlessFaults(
            reactor=self._reactor,
            endpoints=self.endpoints,
            gateways=self.gateways,
            generator=random.Random(f"endless {self._seed}"),
            counts=self._fault_counts,
        )
        return testing.spawn(self._endless_faults.run(until))

    def _disturb(self, name: str) -> _notice_log.Disturbance:
        """Records that a gateway or link can't be expected to work."""
        return self._notice_log.disturb(name, self._reactor.seconds())

    def _inject_fault(self) -> None:
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
        self._fault_counts[fault.__name__.lstrip("_")] += 1
        self._running_faults.append(testing.spawn(fault()))

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
        disturbance = self._disturb(gateway.name)
        while gateway.is_running:
            await self._sleep(0.1)
        await self._sleep(0.3)
        if not gateway.is_running:
            gateway.start()
        disturbance.end(self._reactor.seconds())

    async def _pause(self) -> None:
        gateway = self._choose_gateway()
        disturbance = self._disturb(gateway.name)
        gateway.send(signal.SIGSTOP)
        await self._sleep(0.5 + 3 * self._generator.random())
        gateway.send(signal.SIGCONT)
        disturbance.end(self._reactor.seconds())

    async def _reset_link(self) -> None:
        proxy = self._choose_proxy()
        self._disturb(proxy.name).end(self._reactor.seconds())
        proxy.reset()

    async def _silence_link(self) -> None:
        proxy = self._choose_proxy()
        disturbance = self._disturb(proxy.name)
        proxy.is_silent = True
        await self._sleep(0.5 + 3 * self._generator.random())
        proxy.is_silent = False
        proxy.reset()
        disturbance.end(self._reactor.seconds())

    async def _delay_link(self) -> None:
        proxy = self._choose_proxy()
        disturbance = self._disturb(proxy.name)
        proxy.delay_s = 0.3 * self._generator.random()
        await self._sleep(2.0)
        proxy.delay_s = 0.0
        disturbance.end(self._reactor.seconds())

    async def _fail_worker(self) -> None:
        name = self._generator.choice(sorted(self.endpoints))
        self.endpoints[name].failure_probability = 0.4
        await self._sleep(2.0)
        self.endpoints[name].failure_probability = 0.0

    async def _fail_store(self) -> None:
        store = self._store_server.store
        store.outage = self._generator.choice(("busy", "reset", "silent"))
        await self._sleep(0.5 + 3 * self._generator.random())
        store.outage = ""
