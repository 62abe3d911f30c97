"""Runs the demo."""

from collections.abc import Callable
import random

from twisted.internet import defer

from sassafrasstile import standins
from sassafrasstile.demo import _callers
from sassafrasstile.demo import _report
from sassafrasstile.demo import _site
from sassafrasstile.demo import _workload

_SETTLE_S = 3.5
_PROGRESS_STEPS = 20


async def run_demo(
    reactor,
    *,
    site: str,
    seed: int,
    show: Callable[[str], None],
) -> _report.DemoReport:
    """Runs a site in this process and sends it a short mixed workload.

    Args:
        reactor: The reactor; one on asyncio's loop.
        site: One of `SITE_NAMES`.
        seed: Seeds the workload.
        show: Called with each line of progress.

    Returns:
        What the run saw.
    """
    generator = random.Random(seed)
    local = _site.LocalSite(
        reactor=reactor,
        prefills=2,
        decodes=3,
        services=3,
        seed=seed,
        speed=standins.EngineSpeed(prefill_tokens_per_s=20_000.0),
    )
    await local.start()
    show(f"{len(local.gateways)} gateways, {len(local.sidecars)} endpoints up")
    report = _report.DemoReport()
    callers = _callers.Callers(
        reactor=reactor, urls=local.list_urls(), report=report
    )
    try:
        await _send_all(
            reactor, callers, _workload.make_workload(site, generator), show
        )
        await _settle(reactor, local)
        _read_truth(local, callers, report)
    finally:
        callers.close()
        await local.close()
    return report


async def _send_all(
    reactor,
    callers: _callers.Callers,
    steps: list[_workload.Step],
    show: Callable[[str], None],
) -> None:
    started_at = reactor.seconds()
    sent = []
    for index, step in enumerate(steps):
        delay_s = started_at + step.at_s - reactor.seconds()
        if delay_s > 0:
            await _sleep(reactor, delay_s)
        sent.append(callers.send(step, index))
        if (index + 1) % _PROGRESS_STEPS == 0:
            show(f"{index + 1} of {len(steps)} steps sent")
    results = await defer.DeferredList(sent, consumeErrors=True)
    for succeeded, result in results:
        if not succeeded:
            result.raiseException()


async def _sleep(reactor, seconds: float) -> None:
    waiting: defer.Deferred = defer.Deferred()
    reactor.callLater(seconds, waiting.callback, None)
    await waiting


async def _settle(reactor, local: _site.LocalSite) -> None:
    """Waits as long as a lease may take to free what is left."""
    until = reactor.seconds() + _SETTLE_S
    while local.count_held() and reactor.seconds() < until:
        await _sleep(reactor, 0.1)


def _read_truth(
    local: _site.LocalSite,
    callers: _callers.Callers,
    report: _report.DemoReport,
) -> None:
    """Compares what callers were told with what has run."""
    executions: dict[str, int] = {}
    for service in local.services.values():
        for key, count in service.executions.items():
            executions[key] = executions.get(key, 0) + count
    report.executed_twice = sum(1 for count in executions.values() if count > 1)
    report.not_run_but_ran = sum(
        1 for key in callers.refused_keys if executions.get(f"callers/{key}", 0)
    )
    report.held_after_gone = local.count_held()
    computed = sum(
        item.model.computed_tokens for item in local.engines.values()
    )
    imported = sum(
        item.model.exported_computed_tokens for item in local.engines.values()
    )
    report.computed_prefill_tokens = computed
    report.wasted_prefill_tokens = computed - imported
