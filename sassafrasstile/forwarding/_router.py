"""Routes callers' requests and tracks each one until it is answered."""

import logging

from twisted.internet import defer
from twisted.python import failure

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import peers
from sassafrasstile import routes
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _access
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _calls
from sassafrasstile.forwarding import _charges
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _generations
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
_UNAVAILABLE_RETRY_AFTER_S = 0.5


class Router:
    """Routes each request and answers it before its deadline.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._calls = _calls.CallForwarder(context=context)
        self._generations = _generations.GenerationForwarder(context=context)
        self._running: dict[_task.RequestTask, defer.Deferred] = {}

    @property
    def in_flight(self) -> int:
        """The number of requests without a final answer."""
        return len(self._running)

    def handle(
        self, request: web.CallerRequest, exchange: web.IngressRequest
    ) -> None:
        """Routes a request, or refuses it."""
        if self._context.active_configuration.current is None:
            self._refuse(exchange, 503, errors.Code.NOT_CONFIGURED)
            return
        if self._context.meter.is_full:
            self._refuse(exchange, 503, errors.Code.MEMORY_LIMIT)
            return
        try:
            task = self._make_task(request, exchange)
        except workspaces.AccessError as reason:
            self._refuse_access(request, exchange, reason)
            return
        except errors.RequestError as reason:
            self._refuse(exchange, reason.status, reason.code)
            return
        except Exception:
            # The HTTP server would close the connection without an answer.
            _LOG.exception("request: refused after an internal error.")
            self._refuse(exchange, 503, errors.Code.INVARIANT_VIOLATED)
            return
        denial = self._context.shutdown.find_denial(task, self._context.now())
        if denial is not None:
            self._refuse(
                exchange,
                503,
                denial.code,
                retry_after_s=denial.retry_after_s,
                workspace=task.workspace_name,
            )
            return
        self._run(task)

    def admit_waiting(self) -> None:
        """Admits the queued generations that fit now."""
        self._generations.admission.admit()

    def make_queue_report(self, *, is_complete: bool) -> peers.QueueReport:
        """Returns what other gateways have to know of the queue.

        Args:
            is_complete: False to leave out what needn't be told each time.
        """
        return self._generations.admission.make_report(is_complete=is_complete)

    def apply_queue_report(self, peer: str, report: peers.QueueReport) -> None:
        """Records what waits at another gateway.

        Args:
            peer: The gateway's name.
            report: What waits there.
        """
        self._generations.admission.apply_report(peer, report)

    def refuse_denied(self) -> None:
        """Refuses the queued generations that may not be sent any more."""
        self._generations.admission.refuse_denied()

    def review_access(self) -> None:
        """Ends the requests that a new configuration doesn't allow to run.

        One that may have run goes on, but is sent nowhere else.
        """
        denied = [
            (task, running)
            for task, running in self._running.items()
            if _access.renew(self._context, task) and not task.may_have_run
        ]
        for _task_denied, running in denied:
            running.cancel()
        self.refuse_denied()

    def abort_unbegun(self) -> None:
        """Ends the requests whose answers haven't begun, with the verdict."""
        now = self._context.now()
        for task, running in list(self._running.items()):
            if not task.exchange.has_begun:
                self._context.shutdown.log_abort(task, now)
                running.cancel()

    def abort_all(self) -> None:
        """Ends every request immediately, with the verdict on it."""
        now = self._context.now()
        for task, running in list(self._running.items()):
            self._context.shutdown.log_abort(task, now)
            running.cancel()

    def _make_task(self, request, exchange) -> _task.RequestTask:
        context = self._context
        details = context.codec.decode_request(request)
        route = context.active_configuration.table.find(
            host=details.host, target=request.target.decode("latin-1")
        )
        if route is None:
            raise errors.RequestError(
                code=errors.Code.UNKNOWN_ROUTE,
                detail=f"no route for host {details.host!r}",
                status=404,
            )
        access = context.access.identify(details.key, is_open=route.is_open)
        caller_timeout_s = details.timeout_s
        if caller_timeout_s is None:
            caller_timeout_s = route.timeout_s
        timeout_s = min(route.timeout_s, caller_timeout_s)
        caller_deadline = request.received_at + caller_timeout_s
        service = self._choose_service(route)
        output_tokens = context.lengths.estimate(
            service.name, declared_tokens=details.output_tokens
        )
        return _task.RequestTask(
            request=request,
            details=details,
            route=route,
            service=service,
            size=dispatch.WorkSize(
                prompt_tokens=details.prompt_tokens,
                output_tokens=output_tokens,
                target_s=route.target_s,
                max_gap_s=route.target_gap_s or dispatch.DEFAULT_MAX_GAP_S,
            ),
            exchange=exchange,
            deadline=request.received_at + timeout_s,
            caller_deadline=caller_deadline,
            access=access,
            arrived_at=context.refusals.find_first_arrival(
                access.qualify(details.prompt_id),
                arrived_at=request.received_at,
                deadline=caller_deadline,
            ),
        )

    def _choose_service(self, route: routes.Route) -> routes.Service:
        weights = [item.weight for item in route.services]
        chosen = self._context.generator.choices(route.services, weights)[0]
        services = self._context.active_configuration.current.services
        return services.get(chosen.service) or routes.Service(
            name=chosen.service
        )

    def _refuse_access(
        self, request: web.CallerRequest, exchange, reason
    ) -> None:
        context = self._context
        _access.record_refusal(
            context,
            reason.code,
            workspace=reason.workspace,
            request_id=context.codec.decode_request(request).request_id,
        )
        self._refuse(
            exchange,
            reason.status,
            reason.code,
            retry_after_s=_access.UNCONFIRMED_RETRY_AFTER_S,
            workspace=reason.workspace,
        )

    def _refuse(
        self,
        exchange,
        status: int,
        code: errors.Code,
        *,
        retry_after_s: float = _UNAVAILABLE_RETRY_AFTER_S,
        workspace: str = "",
    ) -> None:
        headers: web.Headers = ()
        if status == 503:
            headers = self._context.codec.encode_retry_after(retry_after_s)
        self._context.metrics.requests.labels("none", code).inc()
        _LOG.info(
            "request: refused with %d. Reason: %s.",
            status,
            code,
            extra={
                "version": self._context.active_configuration.version,
                "workspace": workspace,
                "outcome": code.value,
            },
        )
        _answers.send_refusal(
            exchange, status=status, code=code, headers=headers
        )

    def _run(self, task: _task.RequestTask) -> None:
        running = defer.ensureDeferred(self._charge_and_forward(task))
        self._running[task] = running
        task.exchange.label = task.request_id
        task.exchange.on_disconnect = running.cancel
        running.addTimeout(
            max(0.0, task.deadline - self._context.now()),
            self._context.reactor,
        )
        running.addErrback(self._answer_interrupted, task)
        running.addBoth(self._finish, task)

    async def _charge_and_forward(self, task: _task.RequestTask) -> None:
        refusal = await _charges.charge(self._context, task)
        if refusal is not None:
            _answers.fail_task(self._context, task, refusal)
            return
        # Requests that are refused at once allow no retries.
        self._context.get_budget(task.service.name).record_request(
            self._context.now()
        )
        forwarder = self._calls
        if task.route.kind is routes.RouteKind.GENERATION:
            forwarder = self._generations
        await forwarder.forward(task)

    def _answer_interrupted(
        self, reason: failure.Failure, task: _task.RequestTask
    ) -> None:
        """Answers a request that was interrupted."""
        if task.exchange.is_disconnected:
            task.outcome = "caller gone"
            return
        if reason.check(defer.TimeoutError):
            code = errors.Code.DEADLINE_EXCEEDED
        elif reason.check(defer.CancelledError):
            code = task.denial.code if task.denial else errors.Code.STOPPING
        else:
            _LOG.error(
                "request: %s: internal error: %s",
                task.request_id,
                reason.getTraceback(),
            )
            code = errors.Code.INVARIANT_VIOLATED
        _answers.fail_task(self._context, task, task.decide_verdict(code))

    def _finish(self, result, task: _task.RequestTask) -> None:
        if isinstance(result, failure.Failure):
            _LOG.error(
                "request: %s: no final answer: %s",
                task.request_id,
                result.getTraceback(),
            )
            task.exchange.abort()
        context = self._context
        _charges.refund(context, task)
        self._running.pop(task, None)
        taken_s = context.now() - task.request.received_at
        kind = task.route.kind.value
        context.metrics.requests.labels(kind, task.outcome).inc()
        context.metrics.latency.labels(kind).observe(taken_s)
        _LOG.info(
            "request: %s: %s.",
            task.request_id,
            task.outcome,
            extra={
                "request": task.request_id,
                "workspace": task.workspace_name,
                "route": task.route.name,
                "service": task.service.name,
                "version": context.active_configuration.version,
                "verdict": verdicts.name_verdict(
                    task.decide_verdict(errors.Code.OUTCOME_UNKNOWN)
                ),
                "sends": task.sends,
                "outcome": task.outcome,
                "taken_ms": round(taken_s * 1000),
                "first_token_ms": round((task.first_token_s or 0.0) * 1000),
                "longest_gap_ms": round(task.longest_gap_s * 1000),
            },
        )
