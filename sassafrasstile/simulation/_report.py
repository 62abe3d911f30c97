"""The figures of a simulated run."""

from collections.abc import Callable, Sequence
import dataclasses

from sassafrasstile import telemetry
from sassafrasstile.simulation import _callers
from sassafrasstile.simulation import _profiles


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """The figures of one run.

    Attributes:
        goodput: Weighted share of complete answers: an answer on time counts
            as 1, a late one as `SiteProfile.late_weight`.
        on_time: Share of requests answered completely and on time.
        late: Share of requests answered completely but late.
        refused: Share of requests refused at least once and never completed.
        wasted_prefill: Share of prefilled tokens that no complete answer used.
        misplaced_prefill: Share of prefilled tokens that a faster engine
            should have had.
        first_event_p50_s: Median time to the first event.
        first_event_p95_s: 95th percentile of the time to the first event.
        requests: Requests of callers, retries not counted.
        urgent_on_time: Share of the most urgent rank answered on time.
        least_on_time: The same of the least urgent rank.
    """

    goodput: float
    on_time: float
    late: float
    refused: float
    wasted_prefill: float
    misplaced_prefill: float
    first_event_p50_s: float
    first_event_p95_s: float
    requests: int
    urgent_on_time: float
    least_on_time: float


def make_figures(
    outcomes: Sequence[_callers.RequestOutcome],
    *,
    profile: _profiles.SiteProfile,
    prefilled_tokens: int,
    misplaced_prefill: float,
) -> Figures:
    """Returns the figures of a run.

    Args:
        outcomes: The outcome of each request.
        profile: The site.
        prefilled_tokens: Prompt tokens that the engines prefilled.
        misplaced_prefill: Share of them that a faster engine should have had.
    """
    complete = [item for item in outcomes if item.is_complete]
    on_time = [
        item
        for item in complete
        if item.first_event_s <= item.target_s
        and item.longest_gap_s <= profile.gap_s
    ]
    refused = [
        item for item in outcomes if item.refusals and not item.is_complete
    ]
    count = max(1, len(outcomes))
    late = len(complete) - len(on_time)
    used_tokens = sum(item.prompt_tokens for item in complete)
    times = [item.first_event_s for item in complete]
    wasted = max(0, prefilled_tokens - used_tokens)
    return Figures(
        goodput=round((len(on_time) + profile.late_weight * late) / count, 4),
        on_time=round(len(on_time) / count, 4),
        late=round(late / count, 4),
        refused=round(len(refused) / count, 4),
        wasted_prefill=round(wasted / max(1, prefilled_tokens), 4),
        misplaced_prefill=round(misplaced_prefill, 4),
        first_event_p50_s=round(telemetry.compute_percentile(times, 50), 4),
        first_event_p95_s=round(telemetry.compute_percentile(times, 95), 4),
        requests=len(outcomes),
        urgent_on_time=_measure_rank(min, outcomes, on_time),
        least_on_time=_measure_rank(max, outcomes, on_time),
    )


def _measure_rank(
    choose: Callable[..., int],
    outcomes: Sequence[_callers.RequestOutcome],
    on_time: Sequence[_callers.RequestOutcome],
) -> float:
    """Returns the share on time of one of the ranks."""
    rank = choose((item.rank for item in outcomes), default=0)
    count = sum(item.rank == rank for item in outcomes)
    served = sum(item.rank == rank for item in on_time)
    return round(served / max(1, count), 4)


def plot_figures(
    rows: Sequence[tuple[str, float, Figures]], *, path: str
) -> None:
    """Plots goodput and wasted prefill by load, with one line per policy.

    Requires the extra `plot`.

    Args:
        rows: Policy, load and figures of each run.
        path: The image file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for policy in dict.fromkeys(row[0] for row in rows):
        own = [row for row in rows if row[0] == policy]
        loads = [row[1] for row in own]
        axes[0].plot(loads, [row[2].goodput for row in own], label=policy)
        axes[1].plot(loads, [row[2].wasted_prefill for row in own])
    axes[0].set(xlabel="load, share of capacity", ylabel="goodput")
    axes[1].set(xlabel="load, share of capacity", ylabel="wasted prefill")
    axes[0].legend()
    figure.savefig(path)
    pyplot.close(figure)
