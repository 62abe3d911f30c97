"""Admission of generations to engines."""

import dataclasses
import logging

from twisted.internet import defer
from twisted.internet import task as tasks

from sassafrasstile import dispatch
from sassafrasstile import peers
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _access
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A generation is refused after waiting for this many first-token targets,
# while its caller still has time to retry.
_MAX_WAIT_TARGETS = 2.0
# One that was refused before waits longer. It is late already, and its caller
# may not return once more.
_MAX_RETURN_WAIT_TARGETS = 3.0
# A generation that is sent again may wait at least this long each time.
_MIN_WAIT_S = 0.4
# Reservations of the same capacity by other gateways are received within
# this time.
_CONTENTION_WAIT_S = 0.012
# A resumed generation, whose caller has part of the answer, may wait at least
# this long each time: as long as a caller may wait.
_MIN_RESUMED_WAIT_S = 2.0
# A refused caller is asked to wait no longer than this: what is measured says
# little of later times.
_MAX_RETRY_WAIT_S = 4.0
_NO_REPORT = peers.QueueReport()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiting:
    """A request in the queue.

    Attributes:
        task: The request.
        decision: Fires with its grant, or with None when it is refused.
    """

    task: _task.RequestTask
    decision: defer.Deferred


class AdmissionController:
    """Queues generations until their engines have capacity.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._queue = dispatch.GenerationQueue(placement=context.placement)
        self._waiting: dict[dispatch.Waiter, _Waiting] = {}

    @property
    def queued(self) -> int:
        """The number of generations in the queue."""
        return len(self._queue)

    def make_report(self, *, is_complete: bool) -> peers.QueueReport:
        """Returns what other gateways have to know of the queue.

        It is empty where all generations have the same rank and no workspace.

        Args:
            is_complete: False to leave out what needn't be told each time.
        """
        active = self._context.active_configuration
        has_ranks = len(active.priorities) > 1
        if not has_ranks and active.directory is None:
            return _NO_REPORT
        return self._queue.make_report(
            self._context.now(), has_ranks=has_ranks, is_complete=is_complete
        )

    def apply_report(self, peer: str, report: peers.QueueReport) -> None:
        """Records what waits at another gateway.

        Args:
            peer: The gateway's name.
            report: What waits there.
        """
        self._queue.apply_report(peer, report, self._context.now())

    def estimate_retry_s(self, task: _task.RequestTask) -> float:
        """Returns when a refused request may expect capacity, in seconds.

        It is zero where all generations have the same rank.

        Args:
            task: The request.
        """
        if len(self._context.active_configuration.priorities) < 2:
            return 0.0
        queue_end_s = self._queue.estimate_queue_end_s(
            task.service, task.rank, self._context.now()
        )
        return min(_MAX_RETRY_WAIT_S, queue_end_s)

    async def acquire(
        self,
        task: _task.RequestTask,
        *,
        handle: _base.KvHandle | None = None,
        is_resumed: bool = False,
        may_prefill_remotely: bool = True,
    ) -> dispatch.Grant | None:
        """Waits for capacity and reserves it.

        Args:
            task: The request.
            handle: Its finished prefill, or None.
            is_resumed: True when its caller has part of the answer.
            may_prefill_remotely: False when the decode engine reads the prompt.

        Returns:
            The grant, or None when no capacity can be expected in time.
        """
        while True:
            grant = await self._wait(
                task,
                handle,
                is_resumed=is_resumed,
                may_prefill_remotely=may_prefill_remotely,
            )
            if grant is None or await self._resolve_contention(task, grant):
                return grant

    def try_acquire(
        self, task: _task.RequestTask, *, needs_prefill: bool
    ) -> dispatch.Grant | None:
        """Reserves capacity at engines that haven't run a request.

        It precedes the queue, as each resumed stream does.

        Args:
            task: The request.
            needs_prefill: False if its caller has a part of the answer.

        Returns:
            The grant, or None when no other engine has capacity now.
        """
        now = self._context.now()
        choice = self._context.placement.choose_for_generation(
            service=task.service,
            size=task.size,
            now=now,
            needs_prefill=needs_prefill,
            excluded=tuple(task.may_have_run),
            software_version=task.software_version,
        )
        if not isinstance(choice, dispatch.Grant):
            return None
        engine = choice.decode
        if engine in task.may_have_run or not engine.health.is_reachable(now):
            return None
        choice.reserve()
        self._context.announce()
        return choice

    async def _resolve_contention(
        self, task: _task.RequestTask, grant: dispatch.Grant
    ) -> bool:
        """Waits to learn whether other gateways reserved the same capacity.

        Returns:
            False when the capacity was left to another gateway.
        """
        placement = self._context.placement
        if not placement.is_contested(grant, service=task.service):
            return True
        granted_at = self._context.now()
        try:
            await tasks.deferLater(self._context.reactor, _CONTENTION_WAIT_S)
        except defer.CancelledError:
            self.release(grant)
            raise
        if not placement.must_yield(
            grant, service=task.service, granted_at=granted_at
        ):
            return True
        _LOG.info(
            "room: request %s yields its capacity at %s to another gateway.",
            task.request_id,
            grant.decode.name,
            extra={
                "request": task.request_id,
                "endpoint": grant.decode.name,
                "reserved_tokens": grant.decode.total_reserved_tokens,
            },
        )
        self.release(grant)
        return False

    async def _wait(
        self,
        task: _task.RequestTask,
        handle: _base.KvHandle | None,
        *,
        is_resumed: bool,
        may_prefill_remotely: bool,
    ) -> dispatch.Grant | None:
        if self._context.quarantine.find(task.content) is not None:
            return None
        if not self._context.placement.has_decode_engine(
            task.service.name, software_version=task.software_version
        ):
            return None
        target_s = task.route.target_s
        received_at = task.request.received_at
        wait_targets = _MAX_WAIT_TARGETS
        if task.arrived_at < received_at:
            wait_targets = _MAX_RETURN_WAIT_TARGETS
        waiter = self._queue.add(
            service=task.service,
            size=task.size,
            target_at=task.arrived_at + target_s,
            wait_deadline=max(
                received_at + wait_targets * target_s,
                self._context.now()
                + (_MIN_RESUMED_WAIT_S if is_resumed else _MIN_WAIT_S),
            ),
            arrived_at=task.arrived_at,
            priority=task.rank,
            workspace=task.workspace_name,
            quota_per_s=_get_quota_per_s(task.access.workspace),
            prefilled_until=handle.expires_at if handle else None,
            prefilled_version=(
                handle.endpoint.record.software_version if handle else None
            ),
            is_resumed=is_resumed,
            may_prefill_remotely=may_prefill_remotely,
            excluded=tuple(task.may_have_run),
            software_version=task.software_version,
        )
        decision: defer.Deferred = defer.Deferred()
        self._waiting[waiter] = _Waiting(task=task, decision=decision)
        metrics = self._context.metrics
        waiting = metrics.waiting.labels(metrics.ranks.choose(task.rank_name))
        waiting.inc()
        began_at = self._context.now()
        try:
            self.admit()
            grant = await decision
        finally:
            self._waiting.pop(waiter, None)
            self._queue.remove(waiter)
            waiting.dec()
        self._count(task, grant, self._context.now() - began_at)
        self._log(task, grant, waiter)
        return grant

    def _count(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant | None,
        waited_s: float,
    ) -> None:
        metrics = self._context.metrics
        outcome = "refused" if grant is None else "admitted"
        rank = metrics.ranks.choose(task.rank_name)
        metrics.admissions.labels(rank, outcome).inc()
        metrics.admission_wait.labels(rank).observe(waited_s)
        workspace = task.workspace_name
        if grant is not None and workspace:
            tokens = grant.size.memory_tokens
            label = metrics.workspaces.choose(workspace)
            metrics.admitted_tokens.labels(label).inc(tokens)

    def confirm(self, task: _task.RequestTask, grant: dispatch.Grant) -> None:
        """Moves a grant if its decode engine may no longer have capacity.

        Args:
            task: The request.
            grant: Its grant, after the prefill on another engine.
        """
        granted = grant.decode
        engine = self._context.placement.choose_alternative(
            grant,
            service=task.service,
            now=self._context.now(),
            excluded=tuple(task.may_have_run),
        )
        if engine is None:
            return
        _LOG.info(
            "room: request %s moves to %s.",
            task.request_id,
            engine.name,
            extra={
                "request": task.request_id,
                "endpoint": engine.name,
                "reserved_tokens": engine.total_reserved_tokens,
                "doubtful": granted.name,
                "doubtful_reserved_tokens": granted.total_reserved_tokens,
            },
        )
        grant.move(engine)
        self._context.announce()

    def release(self, grant: dispatch.Grant) -> None:
        """Releases all capacity of a grant."""
        grant.release()
        self.admit()

    def release_prefill(self, grant: dispatch.Grant) -> None:
        """Releases the capacity of the prefill engine."""
        grant.release_prefill()
        self.admit()

    def admit(self) -> None:
        """Admits generations that fit now; refuses those that can't in time."""
        now = self._context.now()
        admitted = self._queue.admit(now)
        if self._queue.is_holding:
            self._context.announce_room()
        elif admitted:
            self._context.announce()
        for waiter in [*admitted, *self._queue.expire(now)]:
            waiting = self._waiting.pop(waiter, None)
            if waiting is not None:
                waiting.decision.callback(waiter.grant)
            elif waiter.grant is not None:
                waiter.grant.release()

    def refuse_denied(self) -> None:
        """Refuses queued generations that may not be sent any more.

        Their prompts crash engines, their keys were withdrawn, or this gateway
        ends before they could be answered.
        """
        now = self._context.now()
        for waiter, waiting in list(self._waiting.items()):
            task = waiting.task
            is_refused = (
                self._context.quarantine.find(task.content) is not None
                or _access.renew(self._context, task) is not None
                or self._context.shutdown.find_denial(task, now) is not None
            )
            if is_refused and self._waiting.pop(waiter, None):
                waiting.decision.callback(None)

    def _log(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant | None,
        waiter: dispatch.Waiter,
    ) -> None:
        now = self._context.now()
        waited_s = now - task.request.received_at
        fields = {
            "request": task.request_id,
            "workspace": task.workspace_name,
            "priority": task.priority,
            "prompt_tokens": task.size.prompt_tokens,
            "output_tokens": task.size.output_tokens,
            "queued": len(self._queue),
            "waited_ms": round(waited_s * 1000),
            "age_ms": round((now - task.arrived_at) * 1000),
            "rank": task.rank_name,
            "places": self._queue.count_places(task.service, task.size, now),
            "ahead_elsewhere": waiter.ahead_elsewhere.total,
            "news_age_ms": round(waiter.ahead_elsewhere.age_s * 1000),
        }
        if grant is None:
            _LOG.info(
                "room: request %s gets no capacity.",
                task.request_id,
                extra=fields,
            )
            return
        engine = grant.decode
        fields["endpoint"] = engine.name
        fields["software_version"] = engine.record.software_version
        fields["reserved_tokens"] = engine.total_reserved_tokens
        fields["in_flight"] = engine.total_in_flight
        if grant.prefill is not None:
            fields["prefill"] = grant.prefill.name
            fields["prefill_tokens"] = grant.prefill.total_prefill_tokens
        _LOG.info(
            "room: request %s gets capacity at %s.",
            task.request_id,
            engine.name,
            extra=fields,
        )


def _get_quota_per_s(workspace: workspaces.Workspace | None) -> float | None:
    """Returns a workspace's quota in tokens a second, or None without one."""
    quota = workspace.quota if workspace else None
    if quota is None or quota.unit is not workspaces.QuotaUnit.TOKENS:
        return None
    return quota.rate_per_s
