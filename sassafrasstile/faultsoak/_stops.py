"""Stops gateway processes again and again while callers keep sending."""

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
from sassafrasstile.faultsoak import _gateways
from sassafrasstile.faultsoak import _stop_callers
from sassafrasstile.faultsoak import _stop_check
from sassafrasstile.faultsoak import _stop_endpoints
from sassafrasstile.faultsoak import _stop_records
from sassafrasstile.faultsoak import _stop_site

_MIN_GATEWAYS = 4
_MAX_GATEWAYS = 6
_ENDPOINTS = {"prefill": 2, "decode": 4, "plain": 3}
_MAX_STARTUP_S = 30.0
_SETTLE_S = 4.0
_POLL_S = 0.02
_RESTART_WAIT_S = 0.3
_MAX_TURN_GAP_S = 4.0
_MAX_PAUSE_S = 6.0
_MEMORY_MB = 150
# In this share of the runs all gateways are always stopped at once.
_ALL_SHARE = 0.25
_LEARNING_S = 4.0
# Callers that read nothing for three seconds are disconnected.
_LONG_PAUSE_S = 1.0
_PAUSE_CHECK_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopReport:
    """The results of a run.

    Attributes:
        seed: The seed of the run.
        traffic: What callers sent.
        requests: The number of requests sent.
        whole: The number with a whole answer of status 200.
        statuses: The number of requests by status; zero means none.
        signals: The number of signals and other planned work, by name.
        slowest_stop_s: The longest time from a SIGTERM to the process's end.
        excused: The number of requests without a whole answer that the rules
            excuse, by the reason.
        late: The gateways that had to be killed.
        pauses: When this process, and with it all callers and endpoints, did
            nothing for over a second, and for how many seconds. Nothing is
            excused for it.
        violations: The violated guarantees, one line each.
    """

    seed: int
    traffic: _stop_callers.Traffic
    requests: int
    whole: int
    statuses: dict[int, int]
    signals: dict[str, int]
    slowest_stop_s: float
    excused: dict[str, int]
    late: list[str]
    pauses: list[tuple[float, float]]
    violations: list[str]


class StopRun:
    """Runs a site whose gateways are stopped, and checks every request.

    Args:
        reactor: The reactor.
        seed: The seed of all random numbers.
        seconds: How long callers send requests.
        arguments: The interpreter's arguments that start a gateway.
        logs: An existing folder for the gateways' logs; without it, they are
            deleted.
        traffic: What callers send; the seed decides without it.
        all_at_once: Whether all gateways are always stopped at once; the seed
            decides without it.
    """

    def __init__(
        self,
        *,
        reactor,
        seed: int,
        seconds: float,
        arguments: Sequence[str] = _gateways.ARGUMENTS,
        logs: pathlib.Path | None = None,
        traffic: _stop_callers.Traffic | None = None,
        all_at_once: bool | None = None,
    ):
        self._reactor = reactor
        self._seed = seed
        self._seconds = seconds
        self._arguments = arguments
        self._logs = logs
        self._generator = random.Random(f"stops {seed}")
        self._has_holds = self._generator.random() < 0.5
        chosen = _stop_callers.choose_traffic(self._generator)
        self._traffic = traffic or chosen
        self._is_all_at_once = all_at_once
        if all_at_once is None:
            self._is_all_at_once = self._generator.random() < _ALL_SHARE
        self._bounds = _stop_check.StopBounds()
        self._store_server = standins.PlatformStoreServer(reactor=reactor)
        self._executions: dict[str, list[_stop_records.Execution]] = {}
        self._endpoints: list[_stop_endpoints.BusyEndpoint] = []
        self._gateways: list[_gateways.GatewayProcess] = []
        self._lives: list[_stop_records.Life] = []
        self._configured_at: list[float] = []
        self._signals: collections.Counter[str] = collections.Counter()
        self._stopping: dict[str, defer.Deferred] = {}
        self._pauses: list[tuple[float, float]] = []
        self._is_over = False

    async def run(self) -> StopReport:
        """Runs the site to the end and returns the report."""
        testing.spawn(self._watch_pauses())
        with tempfile.TemporaryDirectory() as folder:
            self._start(self._logs or pathlib.Path(folder))
            try:
                return await self._send_and_check()
            finally:
                await self._close()

    async def _watch_pauses(self) -> None:
        began_at = last_at = self._now()
        while not self._is_over:
            await self._sleep(_PAUSE_CHECK_S)
            pause_s = self._now() - last_at
            if pause_s > _LONG_PAUSE_S:
                since_s = last_at - began_at
                self._pauses.append((round(since_s, 2), round(pause_s, 2)))
            last_at = self._now()

    async def _send_and_check(self) -> StopReport:
        balancer = _stop_callers.Balancer(
            reactor=self._reactor, gateways=self._gateways
        )
        callers = _stop_callers.StopCallers(
            reactor=self._reactor,
            balancer=balancer,
            find_life=self._find_life,
            traffic=self._traffic,
            seed=self._seed,
        )
        testing.spawn(balancer.run(lambda: self._is_over))
        deadline = self._now() + _MAX_STARTUP_S
        while not all(item.accepts_callers() for item in self._gateways):
            if self._now() > deadline:
                raise TimeoutError("the gateways don't start")
            await self._sleep(_POLL_S)
        await self._sleep(_SETTLE_S)
        until = self._now() + self._seconds
        sending = testing.spawn(callers.run(until))
        reloading = testing.spawn(self._reload(until))
        await self._sleep(_SETTLE_S)
        await self._stop_repeatedly(until)
        await defer.gatherResults(
            [sending, reloading, *self._stopping.values()]
        )
        return self._report(callers.attempts)

    def _report(self, attempts: list[_stop_records.Attempt]) -> StopReport:
        check = _stop_check.StopCheck(
            attempts=attempts,
            executions=self._executions,
            lives=self._lives,
            configured_at=self._configured_at,
            bounds=self._bounds,
        )
        check.check()
        statuses = collections.Counter(item.status for item in attempts)
        stops = [
            life.ended_at - life.stopped_at
            for life in self._lives
            if life.stopped_at is not None
        ]
        return StopReport(
            seed=self._seed,
            traffic=self._traffic,
            requests=len(attempts),
            whole=sum(
                item.is_whole and item.status == 200 for item in attempts
            ),
            statuses=dict(statuses),
            signals=dict(self._signals),
            slowest_stop_s=round(max(stops, default=0.0), 2),
            excused=dict(check.excused),
            late=check.late,
            pauses=self._pauses,
            violations=check.violations,
        )

    # Planned work.

    async def _stop_repeatedly(self, until: float) -> None:
        plans = (
            self._stop_in_turn,
            self._stop_in_turn,
            self._stop_all,
            self._stop_twice,
            self._stop_while_starting,
        )
        while self._now() < until:
            plan = self._generator.choice(plans)
            if self._is_all_at_once:
                plan = self._stop_all
            self._signals[plan.__name__.lstrip("_")] += 1
            await plan(until)
            await self._sleep(_MAX_PAUSE_S * self._generator.random())

    async def _stop_in_turn(self, until: float) -> None:
        gap_s = self._generator.uniform(1.0, _MAX_TURN_GAP_S)
        for gateway in self._gateways:
            if self._now() >= until:
                return
            self._stop(gateway)
            await self._sleep(gap_s)

    async def _stop_all(self, until: float) -> None:
        for gateway in self._gateways:
            self._stop(gateway)
        if self._is_all_at_once:
            # Until they are back and have learnt how long streams last.
            await defer.gatherResults(list(self._stopping.values()))
            await self._sleep(_LEARNING_S)

    async def _stop_twice(self, until: float) -> None:
        gateway = self._generator.choice(self._gateways)
        self._stop(gateway)
        await self._sleep(5.0 * self._generator.random() ** 2)
        self._stop(gateway)

    async def _stop_while_starting(self, until: float) -> None:
        gateway = self._generator.choice(self._gateways)
        self._stop(gateway)
        await self._stopping[gateway.name]
        # From long before its signal handlers are set until it is ready.
        await self._sleep(0.1 + 1.5 * self._generator.random())
        self._stop(gateway)

    def _stop(self, gateway: _gateways.GatewayProcess) -> None:
        """Sends a SIGTERM, also if the process is stopping already."""
        life = self._find_life(gateway.name)
        if life.ended_at is None:
            gateway.send(signal.SIGTERM)
        if life.stopped_at is not None:
            self._signals["another SIGTERM"] += 1
        else:
            self._signals["SIGTERM"] += 1
            life.stopped_at = self._now()
            stopping = testing.spawn(self._await_end(gateway, life))
            self._stopping[gateway.name] = stopping

    async def _await_end(self, gateway, life: _stop_records.Life) -> None:
        while gateway.is_running:
            if self._now() > life.stopped_at + self._bounds.grace_s:
                self._signals["SIGKILL"] += 1
                gateway.close()
            await self._sleep(_POLL_S)
        life.ended_at = self._now()
        life.exit_code = gateway.exit_code
        await self._sleep(_RESTART_WAIT_S)
        if not self._is_over:
            self._begin_life(gateway)

    async def _reload(self, until: float) -> None:
        """Sends SIGHUP and writes configurations until a time."""
        version = 1
        while self._now() < until:
            await self._sleep(5.0 * self._generator.random())
            if self._generator.random() < 0.5:
                version += 1
                self._signals["configuration"] += 1
                self._configure(version)
                continue
            self._signals["SIGHUP"] += 1
            gateway = self._generator.choice(self._gateways)
            self._find_life(gateway.name).reloaded_at.append(self._now())
            gateway.send(signal.SIGHUP)

    def _configure(self, version: int) -> None:
        self._configured_at.append(self._now())
        document = _stop_site.make_configuration(
            version, has_holds=self._has_holds
        )
        self._store_server.store.put_json("keyed.op", "config", document)

    # Processes and servers.

    def _start(self, folder: pathlib.Path) -> None:
        self._store_server.start()
        handles: dict[str, float] = {}
        for stage, count in _ENDPOINTS.items():
            for number in range(count):
                self._add_endpoint(f"{stage}{number}", stage, handles)
        self._configure(1)
        count = self._generator.randint(_MIN_GATEWAYS, _MAX_GATEWAYS)
        for number in range(count):
            gateway = _gateways.GatewayProcess(
                name=f"g{number}",
                folder=folder,
                store_port=self._store_server.port,
                arguments=self._arguments,
                bounds={"graceS": self._bounds.grace_s},
                memory_mb=_MEMORY_MB,
            )
            self._gateways.append(gateway)
            self._begin_life(gateway)

    def _add_endpoint(self, name: str, stage: str, handles) -> None:
        endpoint = _stop_endpoints.BusyEndpoint(
            reactor=self._reactor,
            name=name,
            stage=stage,
            executions=self._executions,
            handles=handles,
            generator=random.Random(f"{name} {self._seed}"),
        )
        endpoint.start()
        self._endpoints.append(endpoint)
        self._store_server.store.put_json(
            "keyed.servers", name, _stop_site.make_endpoint(endpoint)
        )

    def _begin_life(self, gateway: _gateways.GatewayProcess) -> None:
        gateway.start()
        self._lives.append(
            _stop_records.Life(gateway=gateway.name, started_at=self._now())
        )

    def _find_life(self, name: str) -> _stop_records.Life:
        return next(
            life for life in reversed(self._lives) if life.gateway == name
        )

    async def _close(self) -> None:
        self._is_over = True
        for gateway in self._gateways:
            gateway.close()
        for endpoint in self._endpoints:
            await endpoint.close()
        await self._store_server.close()

    def _now(self) -> float:
        return self._reactor.seconds()

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
