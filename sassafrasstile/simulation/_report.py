"""What a run shows."""

from collections.abc import Sequence
import dataclasses

from sassafrasstile import telemetry
from sassafrasstile.simulation import _callers
from sassafrasstile.simulation import _profiles


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """The figures of one run.

    Attributes:
        goodput: Worth of all answers, against that of as many on time.
        on_time: Share of requests whole and on time.
        late: Share of requests whole and late.
        refused: Share of requests refused for good.
        wasted_prefill: Share of prompt tokens read that no whole answer used.
        first_event_p50_s: Time to the first event.
        first_event_p95_s: Time to the first event.
        requests: Requests of callers, repeats not counted.
    """

    goodput: float
    on_time: float
    late: float
    refused: float
    wasted_prefill: float
    first_event_p50_s: float
    first_event_p95_s: float
    requests: int


def make_figures(
    stories: Sequence[_callers.Story],
    *,
    profile: _profiles.SiteProfile,
    read_tokens: int,
) -> Figures:
    """Returns the figures of a run.

    Args:
        stories: What became of each request.
        profile: The site.
        read_tokens: Prompt tokens that the engines read.
    """
    whole = [item for item in stories if item.is_whole]
    on_time = [
        item
        for item in whole
        if item.first_event_s <= profile.target_s
        and item.longest_gap_s <= profile.gap_s
    ]
    refused = [item for item in stories if item.refusals and not item.is_whole]
    count = max(1, len(stories))
    late = len(whole) - len(on_time)
    used_tokens = sum(item.prompt_tokens for item in whole)
    times = [item.first_event_s for item in whole]
    wasted = max(0, read_tokens - used_tokens)
    return Figures(
        goodput=round((len(on_time) + profile.late_worth * late) / count, 4),
        on_time=round(len(on_time) / count, 4),
        late=round(late / count, 4),
        refused=round(len(refused) / count, 4),
        wasted_prefill=round(wasted / max(1, read_tokens), 4),
        first_event_p50_s=round(telemetry.compute_percentile(times, 50), 4),
        first_event_p95_s=round(telemetry.compute_percentile(times, 95), 4),
        requests=len(stories),
    )


def plot_figures(
    rows: Sequence[tuple[str, float, Figures]], *, path: str
) -> None:
    """Draws goodput and wasted prefill by load, a line a policy.

    It needs the extra `plot`.

    Args:
        rows: Policy, load and figures.
        path: The file to write.
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
