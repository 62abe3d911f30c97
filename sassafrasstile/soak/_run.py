"""Builds a site, runs it in virtual time and checks its invariants."""

import random

from sassafrasstile import errors
from sassafrasstile import gateway
from sassafrasstile.soak import _callers
from sassafrasstile.soak import _endpoints
from sassafrasstile.soak import _faults
from sassafrasstile.soak import _gateways
from sassafrasstile.soak import _network
from sassafrasstile.soak import _oracle
from sassafrasstile.soak import _platform
from sassafrasstile.soak import _report
from sassafrasstile.soak import _sites
from sassafrasstile.soak import _world

_CHECK_INTERVAL_S = 0.25
# Virtual time after the last arrival, for requests still in flight.
_DRAIN_S = 150.0
_TRACE_LINES = 60
_SECONDS_PER_MINUTE = 60.0


class Site:
    """All components of a run.

    Args:
        shape: The site's size and workload.
        seed: The run's seed.
        policy: The routing policy's name.
    """

    def __init__(self, *, shape: _sites.SiteShape, seed: int, policy: str):
        self.shape = shape
        self.world = _world.World(seed=seed)
        self.report = _report.SoakReport()
        self.oracle = _oracle.ExecutionOracle(report=self.report)
        self.network_faults = _network.NetworkFaults()
        self.log = _platform.FakeLog(world=self.world)
        self.vms = _platform.FakeVms(world=self.world)
        addresses: dict[str, _endpoints.EngineNode] = {}
        self.prefills = self._make_engines("prefill", addresses)
        self.decodes = self._make_engines("decode", addresses)
        self.engines = [*self.prefills, *self.decodes]
        self.services = [
            _endpoints.ServiceNode(
                world=self.world,
                name=f"service-{index}",
                oracle=self.oracle,
                shape=shape,
                log=self.log,
                vms=self.vms,
            )
            for index in range(1, shape.services + 1)
        ]
        self.endpoints = [*self.engines, *self.services]
        self.gateways = [
            _gateways.GatewayNode(
                world=self.world,
                name=f"gateway-{index}",
                report=self.report,
                settings=shape.routing,
                make_endpoints=self._describe_endpoints,
                policy=policy,
            )
            for index in range(1, shape.gateways + 1)
        ]
        self.links = [
            self._make_link(node, endpoint)
            for node in self.gateways
            for endpoint in self.endpoints
        ]

    def _make_engines(
        self, role: str, addresses: dict
    ) -> list[_endpoints.EngineNode]:
        count = self.shape.prefills if role == "prefill" else self.shape.decodes
        return [
            _endpoints.EngineNode(
                world=self.world,
                name=f"{role}-{index}",
                oracle=self.oracle,
                role=role,
                shape=self.shape,
                engines=addresses,
            )
            for index in range(1, count + 1)
        ]

    def _make_link(self, node, endpoint) -> _network.Link:
        link = _network.Link(
            world=self.world,
            gateway=node,
            sidecar=endpoint,
            network_faults=self.network_faults,
        )
        node.links[endpoint.name] = link
        endpoint.links[node.name] = link
        return link

    def _describe_endpoints(self) -> list[gateway.Endpoint]:
        zones = _sites.ZONES
        described = [
            gateway.Endpoint(
                name=node.name,
                role=node.role,
                serves=_endpoints.MODEL,
                zone=zones[index % len(zones)],
            )
            for index, node in enumerate(self.engines)
        ]
        described += [
            gateway.Endpoint(
                name=node.name, role="service", serves=_endpoints.SERVICE
            )
            for node in self.services
        ]
        return described

    def start(self) -> None:
        """Starts every process."""
        for node in [*self.endpoints, *self.gateways]:
            node.start()
        self.world.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.oracle.check_engines(self.engines, self.world.now)
        self.world.call_later(_CHECK_INTERVAL_S, self._check)


class _Arrivals:
    """Starts callers at random times."""

    def __init__(self, *, site: Site, end: float, load: float):
        self._site = site
        self._end = end
        self._load = load
        # Used for nothing else, so that every policy gets the same arrivals.
        self._generator = random.Random(f"arrivals {site.world.seed}")
        self._count = 0

    def start(self) -> None:
        shape = self._site.shape
        self._schedule_next(shape.generation_rate, self._make_generation)
        self._schedule_next(shape.call_rate, self._make_call)

    def _schedule_next(self, rate: float, make) -> None:
        world = self._site.world
        delay_s = self._generator.expovariate(rate * self._load)
        if world.now + delay_s >= self._end:
            return

        def arrive():
            self._count += 1
            self._site.report.requests += 1
            make().start()
            self._schedule_next(rate, make)

        world.call_later(delay_s, arrive)

    def _make_generation(self) -> _callers.Caller:
        shape = self._site.shape
        generator = self._generator
        self._site.report.generations += 1
        return _callers.GenerationCaller(
            site=self._site,
            name=f"g{self._count}",
            prompt=f"prompt {self._count} {generator.random()}",
            prompt_tokens=generator.randint(*shape.prompt_tokens),
            deferred=generator.random() < shape.deferred_share,
        )

    def _make_call(self) -> _callers.Caller:
        generator = self._generator
        if generator.random() < self._site.shape.booking_share:
            return _callers.BookingCaller(
                site=self._site, name=f"b{self._count}"
            )
        return _callers.LookupCaller(site=self._site, name=f"l{self._count}")


def run_shape(
    shape: _sites.SiteShape,
    *,
    seed: int,
    minutes: float,
    faults: tuple[str, ...],
    policy: str = "two_choices",
    load: float = 1.0,
    trace: bool = False,
) -> tuple[_report.SoakReport, list[str]]:
    """Runs a site for a number of virtual minutes.

    Args:
        shape: The site's size and workload.
        seed: Seeds all random generators.
        minutes: Virtual minutes during which callers arrive.
        faults: Faults to inject meanwhile, of `FAULT_NAMES`.
        policy: The routing policy's name.
        load: Multiplies the arrival rates.
        trace: Whether to record a trace of events.

    Returns:
        The report, and the last lines of the trace.
    """
    built = Site(shape=shape, seed=seed, policy=policy)
    built.world.is_tracing = trace
    end = minutes * _SECONDS_PER_MINUTE
    built.start()
    _Arrivals(site=built, end=end, load=load).start()
    _faults.schedule_faults(built, faults, end=end)
    try:
        built.world.run_until(end + _DRAIN_S)
    except errors.InvariantError as error:
        built.report.record_violation(error.name, error.detail)
    for node in built.engines:
        built.oracle.add_computed(node.model.computed_tokens)
        built.oracle.add_imported(node.model.exported_computed_tokens)
    return built.report, built.world.trace[-_TRACE_LINES:]


def run_soak(
    *,
    site: str,
    seed: int,
    minutes: float,
    faults: tuple[str, ...] = _faults.FAULT_NAMES,
    policy: str = "two_choices",
    load: float = 1.0,
    trace: bool = False,
) -> tuple[_report.SoakReport, list[str]]:
    """Runs a site of `SITES`; see `run_shape`."""
    return run_shape(
        _sites.SITES[site],
        seed=seed,
        minutes=minutes,
        faults=faults,
        policy=policy,
        load=load,
        trace=trace,
    )
