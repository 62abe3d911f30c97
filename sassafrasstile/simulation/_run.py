"""Runs one policy on one site, load and pattern."""

from collections.abc import Sequence
import dataclasses
import random
import statistics

from sassafrasstile import membership
from sassafrasstile.simulation import _base
from sassafrasstile.simulation import _callers
from sassafrasstile.simulation import _engines
from sassafrasstile.simulation import _gateways
from sassafrasstile.simulation import _network
from sassafrasstile.simulation import _patterns
from sassafrasstile.simulation import _profiles
from sassafrasstile.simulation import _report

# `queue` is the dispatch of real gateways. In `queue_own`, gateways don't
# exchange load reports; in `queue_reports`, they receive each other's load
# only every `_REPORT_INTERVAL_S`; in `queue_unconfirmed` too, but they never
# ask engines to set memory aside. In `queue_untold`, they don't tell each other
# what waits. The others are plain policies.
POLICIES = (
    "queue",
    "queue_own",
    "queue_reports",
    "queue_unconfirmed",
    "queue_untold",
    "random",
    "round_robin",
    "least_loaded",
    "two_choices",
)
_REPORT_INTERVAL_S = 0.3
# Virtual time after the last arrival, for requests still in flight.
_DRAIN_S = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The parameters of a run.

    Attributes:
        site: A name in `SITES`.
        policy: A name in `POLICIES`.
        pattern: The load or fault pattern.
        load: Requests as a share of the site's capacity.
        seconds: Duration of the arrivals, in virtual seconds.
        time_factor: Factor of each duration but those of the network.
        seed: Seeds all random generators.
    """

    site: str
    policy: str = "queue"
    pattern: _patterns.Pattern = _patterns.Steady()
    load: float = 1.0
    seconds: float = 25.0
    time_factor: float = 1.0
    seed: int = 1


class Site:
    """The engines, gateways and callers of one run.

    Args:
        plan: The parameters of the run.
    """

    def __init__(self, *, plan: Plan):
        plan = dataclasses.replace(
            plan, pattern=plan.pattern.scale_time(plan.time_factor)
        )
        self._plan = plan
        self._profile = _profiles.SITES[plan.site].scale_time(plan.time_factor)
        self._generator = random.Random(f"policy {plan.seed}")
        self.reactor = _network.VirtualReactor(
            generator=random.Random(f"network {plan.seed}")
        )
        self.pools = self._make_pools()
        self.gateways = [
            self._make_gateway(number)
            for number in range(self._profile.gateways)
        ]
        self._callers = _callers.Callers(
            reactor=self.reactor,
            profile=self._profile,
            pattern=plan.pattern,
            rate_per_s=plan.load * self._profile.capacity_per_s,
            gateways=self.gateways,
            arrivals=random.Random(f"arrivals {plan.seed}"),
            behaviour=random.Random(f"manners {plan.seed}"),
        )

    def _make_pools(self) -> _base.Pools:
        def make_profile(number: int) -> _profiles.EngineProfile:
            all_speeds = self._profile.speeds
            speed = all_speeds[number % len(all_speeds)]
            return self._profile.engine.scale(speed)

        prefills = {
            f"prefill-{number}": _engines.PrefillEngine(
                reactor=self.reactor, profile=make_profile(number)
            )
            for number in range(self._profile.prefills)
        }
        decodes = {
            f"decode-{number}": _engines.DecodeEngine(
                reactor=self.reactor, profile=make_profile(number)
            )
            for number in range(self._profile.decodes)
        }
        records = tuple(
            self._make_record(name, number, role)
            for role, names in (
                (membership.Role.PREFILL, prefills),
                (membership.Role.DECODE, decodes),
            )
            for number, name in enumerate(names)
        )
        return _base.Pools(prefills=prefills, decodes=decodes, records=records)

    def _make_record(self, name, number, role) -> membership.EndpointRecord:
        zones = self._profile.zones
        return membership.EndpointRecord(
            endpoint_id=name,
            started_ms=1,
            service=_base.SERVICE,
            host=name,
            port=1,
            zone=zones[number % len(zones)],
            role=role,
            state=membership.EndpointState.READY,
            slots=self._profile.engine.slots,
        )

    def _make_gateway(self, number: int) -> _gateways.Gateway:
        policy = self._plan.policy
        return _gateways.Gateway(
            reactor=self.reactor,
            name=f"gateway-{number}",
            number=number,
            profile=self._profile,
            pools=self.pools,
            policy="queue" if policy.startswith("queue") else policy,
            is_lagging=policy == "queue_reports",
            tells_queue=policy == "queue",
            generator=self._generator,
        )

    def run(self) -> _report.Figures:
        """Runs the plan and returns its figures."""
        plan = self._plan
        for gateway in self.gateways:
            gateway.start()
            if plan.policy in ("queue", "queue_untold"):
                gateway.connect_peers(self.gateways)
        if plan.policy in ("queue_reports", "queue_unconfirmed"):
            self._report()
        for at_s in (plan.pattern.start_s, self._find_pattern_end()):
            self.reactor.callLater(at_s, self._apply_pattern)
        seconds = plan.time_factor * plan.seconds
        self._callers.start(seconds)
        self.reactor.run_until(seconds + plan.time_factor * _DRAIN_S)
        return _report.make_figures(
            self._callers.outcomes,
            profile=self._profile,
            prefilled_tokens=self._count_prefilled_tokens(),
            misplaced_prefill=self._measure_misplaced_prefill(),
        )

    def _find_pattern_end(self) -> float:
        return self._plan.pattern.start_s + self._plan.pattern.duration_s

    def _apply_pattern(self) -> None:
        """Applies or reverts the pattern's changes to engines and links."""
        pattern = self._plan.pattern
        is_active = pattern.is_active(self.reactor.seconds())
        prefills = list(self.pools.prefills.values())
        match pattern:
            case _patterns.UnresponsivePrefills(share=share):
                for engine in prefills[: round(share * len(prefills))]:
                    engine.is_unresponsive = is_active
            case _patterns.ShortHandles(ttl_s=ttl_s):
                default_ttl_s = self._profile.engine.handle_ttl_s
                for engine in prefills:
                    engine.ttl_s = ttl_s if is_active else default_ttl_s
            case _patterns.SlowLinks(factor=factor):
                for engine in self.pools.decodes.values():
                    engine.link_factor = factor if is_active else 1.0
            case _patterns.SlowSpell(share=share, factor=factor):
                for engine in self._list_fastest(share):
                    engine.slow_factor = factor if is_active else 1.0

    def _list_fastest(
        self, share: float
    ) -> list[_engines.PrefillEngine | _engines.DecodeEngine]:
        """Returns a share of the engines of each kind, at least one."""
        prefills = sorted(
            self.pools.prefills.values(), key=lambda item: -item.tokens_per_s
        )
        decodes = sorted(
            self.pools.decodes.values(), key=lambda item: item.step_s
        )
        return [
            *prefills[: max(1, round(share * len(prefills)))],
            *decodes[: max(1, round(share * len(decodes)))],
        ]

    def _report(self) -> None:
        """Sends each gateway the other gateways' loads, at intervals."""
        now = self.reactor.seconds()
        loads = {
            gateway.name: gateway.endpoints.get_own_loads(now)
            for gateway in self.gateways
        }
        for gateway in self.gateways:
            for name, load in loads.items():
                if name != gateway.name:
                    gateway.endpoints.update_peer_loads(name, load, now)
        self.reactor.callLater(_REPORT_INTERVAL_S, self._report)

    def _measure_misplaced_prefill(self) -> float:
        """Returns the share that other prefill engines should have had.

        Each should have a share of the work in proportion to its speed.
        """
        engines = self.pools.prefills.values()
        tokens = sum(item.prefilled_tokens for item in engines)
        speed = sum(item.tokens_per_s for item in engines)
        return sum(
            max(
                0.0,
                item.prefilled_tokens / max(1, tokens)
                - item.tokens_per_s / speed,
            )
            for item in engines
        )

    def _count_prefilled_tokens(self) -> int:
        decodes = self.pools.decodes.values()
        return sum(
            engine.prefilled_tokens
            for engine in (*self.pools.prefills.values(), *decodes)
        )


def simulate(plan: Plan) -> _report.Figures:
    """Runs a plan.

    Args:
        plan: The parameters of the run.

    Returns:
        The figures of the run; equal plans give equal figures.
    """
    return Site(plan=plan).run()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """The figures of a plan over several seeds.

    Attributes:
        mean: The mean of each figure.
        spread: The standard deviation of the goodput.
    """

    mean: _report.Figures
    spread: float


def simulate_seeds(plan: Plan, seeds: Sequence[int]) -> Summary:
    """Runs a plan once for each seed.

    Args:
        plan: The parameters of the runs; its own seed is ignored.
        seeds: The seeds, at least one.
    """
    runs = [simulate(dataclasses.replace(plan, seed=seed)) for seed in seeds]
    means = {
        field.name: round(
            statistics.fmean(getattr(run, field.name) for run in runs), 4
        )
        for field in dataclasses.fields(_report.Figures)
    }
    spread = statistics.pstdev(run.goodput for run in runs)
    return Summary(mean=_report.Figures(**means), spread=round(spread, 4))
