"""Runs the demo site and its workload."""

from collections.abc import Callable
import random

from twisted.internet import defer

from sassafrasstile import standins
from sassafrasstile.demo import _callers
from sassafrasstile.demo import _report
from sassafrasstile.demo import _site
from sassafrasstile.demo import _workload

_RELEASE_TIMEOUT_S = 3.5
_STEPS_PER_PROGRESS_LINE = 20


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
        site: A site name from `SITE_NAMES`.
        seed: Seeds the workload.
        show: Called with each progress message.

    Returns:
        The figures of the run.
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
        await _wait_for_release(reactor, local)
        _record_site_figures(local, callers, report)
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
        if (index + 1) % _STEPS_PER_PROGRESS_LINE == 0:
            show(f"{index + 1} of {len(steps)} steps sent")
    results = await defer.DeferredList(sent, consumeErrors=True)
    for succeeded, result in results:
        if not succeeded:
            result.raiseException()


async def _sleep(reactor, seconds: float) -> None:
    waiting: defer.Deferred = defer.Deferred()
    reactor.callLater(seconds, waiting.callback, None)
    await waiting


async def _wait_for_release(reactor, local: _site.LocalSite) -> None:
    """Waits until engine memory is released, at most just over a lease."""
    deadline = reactor.seconds() + _RELEASE_TIMEOUT_S
    while local.count_held_requests() and reactor.seconds() < deadline:
        await _sleep(reactor, 0.1)


def _record_site_figures(
    local: _site.LocalSite,
    callers: _callers.Callers,
    report: _report.DemoReport,
) -> None:
    """Compares refusals with executions and records the figures of engines."""
    executions: dict[str, int] = {}
    for service in local.services.values():
        for key, count in service.executions.items():
            executions[key] = executions.get(key, 0) + count
    report.executed_twice = sum(1 for count in executions.values() if count > 1)
    report.not_run_but_ran = sum(
        1 for key in callers.refused_keys if executions.get(f"callers/{key}", 0)
    )
    report.held_after_gone = local.count_held_requests()
    computed = sum(
        engine.model.computed_tokens for engine in local.engines.values()
    )
    imported = sum(
        engine.model.exported_computed_tokens
        for engine in local.engines.values()
    )
    report.computed_prefill_tokens = computed
    report.wasted_prefill_tokens = computed - imported
