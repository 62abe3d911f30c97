"""Runs every policy at every load on the same arrivals."""

from collections.abc import Iterator
import dataclasses

from sassafrasstile import soak
from sassafrasstile import telemetry
from sassafrasstile.measure import _shapes

# The lengths of the stand-in's answers are uniform from 8 to 64 tokens.
_MEAN_ANSWER_TOKENS = 36.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The parameters of a measurement.

    Attributes:
        site: A name in `SHAPES`.
        policies: Registered names of policies.
        seeds: The seeds; each gives one run per policy and load.
        loads: Arrivals as shares of the site's capacity.
        minutes: Virtual minutes of a run.
        faults: Faults to inject, of `soak.FAULT_NAMES`.
    """

    site: str
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    loads: tuple[float, ...]
    minutes: float = 2.0
    faults: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """The figures of one policy at one load, over all seeds.

    Attributes:
        policy: The policy's name.
        load: Arrivals as a share of the site's capacity.
        bound: Upper bound of goodput at this load.
        goodput: Share of generation requests completed within both targets.
        good_per_s: Generation requests per second within both targets.
        wasted_prefill: Share of computed prompt tokens that were not imported
            by a decode engine.
        wasted_tokens: The same in tokens per run.
        refused: Share of all requests that were refused as not run.
        first_token_p50_s: Median time to the first token.
        first_token_p95_s: 95th percentile of the time to the first token.
        first_token_p99_s: 99th percentile of the time to the first token.
        violations: Number of violated invariants.
    """

    policy: str
    load: float
    bound: float
    goodput: float
    good_per_s: float
    wasted_prefill: float
    wasted_tokens: float
    refused: float
    first_token_p50_s: float
    first_token_p95_s: float
    first_token_p99_s: float
    violations: int


def find_capacity(shape: soak.SiteShape) -> float:
    """Returns the generation requests per second that a site can serve.

    The minimum of the rates that the prefill engines, the links, the decode
    slots and the decode memory allow.
    """
    speed = shape.speed
    prompt = sum(shape.prompt_tokens) / 2
    prefill_s = prompt / speed.prefill_tokens_per_s
    transfer_s = prompt / speed.link_tokens_per_s
    held_s = prefill_s + transfer_s + _MEAN_ANSWER_TOKENS * speed.step_s
    held_tokens = prompt + shape.max_tokens
    memory = speed.pieces * speed.tokens_per_piece
    return min(
        shape.prefills / prefill_s,
        shape.prefills / transfer_s,
        shape.decodes * speed.slots / held_s,
        shape.decodes * memory / held_tokens / held_s,
    )


def measure(plan: Plan) -> Iterator[Measurement]:
    """Measures each policy at each load.

    Args:
        plan: The parameters of the measurement.

    Yields:
        One measurement for each load and policy.
    """
    shape = _shapes.SHAPES[plan.site]
    capacity = find_capacity(shape)
    for load in plan.loads:
        scaled_shape = dataclasses.replace(
            shape, generation_rate=load * capacity
        )
        for policy in plan.policies:
            reports = [
                soak.run_shape(
                    scaled_shape,
                    seed=seed,
                    minutes=plan.minutes,
                    faults=plan.faults,
                    policy=policy,
                )[0]
                for seed in plan.seeds
            ]
            yield _summarize(plan, policy, load, reports)


def _summarize(
    plan: Plan, policy: str, load: float, reports: list[soak.SoakReport]
) -> Measurement:
    def total(name: str) -> float:
        return sum(getattr(report, name) for report in reports)

    times = [item for report in reports for item in report.first_token_s]
    wasted = total("computed_tokens") - total("imported_tokens")
    seconds = 60.0 * plan.minutes * len(reports)
    return Measurement(
        policy=policy,
        load=load,
        bound=round(min(1.0, 1.0 / load), 4),
        goodput=round(total("good") / max(1, total("generations")), 4),
        good_per_s=round(total("good") / seconds, 3),
        wasted_prefill=round(wasted / max(1, total("computed_tokens")), 5),
        wasted_tokens=round(wasted / len(reports), 1),
        refused=round(total("refused_not_run") / total("requests"), 4),
        first_token_p50_s=round(telemetry.compute_percentile(times, 50), 4),
        first_token_p95_s=round(telemetry.compute_percentile(times, 95), 4),
        first_token_p99_s=round(telemetry.compute_percentile(times, 99), 4),
        violations=sum(len(report.violations) for report in reports),
    )
