"""Attempts to run a request at an endpoint, and their outcomes."""

from collections.abc import Callable
import contextlib
import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _sends
from sassafrasstile.forwarding import _timers

_LOG = logging.getLogger("sassafrasstile.forwarding")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The result of an attempt whose answer has begun to arrive.

    Attributes:
        head: Status and headers.
        reply: The answer; its body isn't read yet.
        kind: Success or failure.
    """

    head: web.ResponseHead
    reply: web.Reply
    kind: _base.AnswerKind


AttemptResult = Answered | verdicts.NotRun | verdicts.MayHaveRun


def fail_on_timeout(work, reactor, seconds: float) -> defer.Deferred:
    """Runs a coroutine that is cancelled after a timeout.

    Returns:
        A Deferred with its result, or with `defer.TimeoutError`.
    """
    deferred = defer.ensureDeferred(work)
    deferred.addTimeout(max(0.0, seconds), reactor)
    return deferred


async def wait_while_alive(
    work: defer.Deferred,
    reactor,
    *,
    timeout_s: float,
    max_timeout_s: float,
    is_alive: Callable[[], bool],
):
    """Waits for a result, and longer if its source is still responsive.

    Args:
        work: The Deferred to wait for; it is cancelled on a timeout.
        reactor: The reactor.
        timeout_s: Seconds until the timeout.
        max_timeout_s: Seconds until the timeout if the source is responsive.
        is_alive: Called after `timeout_s`; returns whether the source is
            responsive.

    Raises:
        defer.TimeoutError: There was no result in time.
    """
    timed_out = []

    def abandon():
        timed_out.append(True)
        work.cancel()

    def check():
        if is_alive() and max_timeout_s > timeout_s:
            limit.start(max_timeout_s - timeout_s)
        else:
            abandon()

    limit = _timers.SilenceTimer(reactor=reactor, on_silence=abandon)
    timer = _timers.SilenceTimer(reactor=reactor, on_silence=check)
    timer.start(min(timeout_s, max_timeout_s))
    try:
        return await work
    except defer.CancelledError:
        if timed_out:
            raise defer.TimeoutError from None
        raise
    finally:
        timer.close()
        limit.close()


class Attempt:
    """One attempt to run a request, or its prefill, at an endpoint.

    Args:
        context: State shared by the parts of the router.
        endpoint: The endpoint.
        request_id: The request's id.
        number: The number of this send, counted from 1, or 0 for a prefill.
    """

    def __init__(
        self,
        *,
        context: _context.ForwardingContext,
        endpoint: dispatch.Endpoint,
        request_id: str,
        number: int,
    ):
        self.endpoint = endpoint
        self.was_sent = False
        self.began_at = context.now()
        self._context = context
        self._request_id = request_id
        self._workspace_name = ""
        self._number = number
        self._key = f"{request_id}/{number}"
        self._reply: web.Reply | None = None
        self._is_connecting = False

    async def start(
        self,
        outgoing: _base.OutgoingRequest,
        *,
        timeout_s: float,
        max_timeout_s: float | None = None,
        overdue_s: float | None = None,
        has_permit: bool = False,
    ) -> AttemptResult:
        """Sends the request and waits for the answer's head.

        Args:
            outgoing: The request.
            timeout_s: Seconds to wait for the head.
            max_timeout_s: Seconds to wait if the endpoint still sends data
                for other requests; `timeout_s` by default.
            overdue_s: Seconds after which an attempt that is cancelled counts
                as a failure of the endpoint; by default it never does.
            has_permit: True if a permit to send it was taken before.

        Returns:
            The beginning of the answer, or the verdict when there is none.
        """
        context = self._context
        if outgoing.access is not None:
            self._workspace_name = outgoing.access.workspace_name
        context.metrics.attempts.inc()
        result: AttemptResult
        try:
            head = await wait_while_alive(
                defer.ensureDeferred(self._exchange(outgoing, has_permit)),
                context.reactor,
                timeout_s=timeout_s,
                max_timeout_s=max_timeout_s or timeout_s,
                is_alive=self._is_alive,
            )
            result = self._classify(head)
        except web.ExchangeError as reason:
            result = self._handle_exchange_error(reason)
        except defer.TimeoutError:
            result = self._handle_timeout()
        except defer.CancelledError:
            self._handle_cancellation(overdue_s)
            raise
        finally:
            self.endpoint.health.remove_pending(self._key)
        self._log(result)
        return result

    def record_success(self, latency_s: float) -> None:
        """Records that the endpoint has answered successfully."""
        self.endpoint.health.record_success(latency_s, self._context.now())

    def record_failure(self) -> None:
        """Records that the endpoint has failed."""
        self.endpoint.health.record_failure(self._context.now())

    def close(self) -> None:
        """Closes the connection unless the complete answer was read."""
        if self._reply is not None:
            self._reply.close()

    def _is_alive(self) -> bool:
        return self.was_sent and not self.endpoint.health.is_silent(
            self._context.now()
        )

    async def _exchange(
        self, outgoing: _base.OutgoingRequest, has_permit: bool
    ) -> web.ResponseHead:
        sent = await _sends.send(
            self._context,
            self.endpoint,
            outgoing,
            has_permit=has_permit,
            on_permit=self._record_permit,
            on_send=self._record_sent,
        )
        self._reply = sent.reply
        return await _sends.read_head(
            self._context, sent, request_id=self._request_id
        )

    def _record_permit(self) -> None:
        self._is_connecting = True

    def _record_sent(self) -> None:
        self._is_connecting = False
        self.was_sent = True
        self.endpoint.health.add_pending(self._key, self._context.now())

    def _classify(self, head: web.ResponseHead) -> AttemptResult:
        kind = self._context.codec.classify(
            head, request_id=self._request_id, is_run=self._number > 0
        )
        match kind:
            case _base.AnswerKind.NOT_RUN:
                self._drain_short_answer()
                return verdicts.NotRun(code=self._find_refusal_code(head))
            case _base.AnswerKind.FOREIGN:
                self.close()
                self.record_failure()
                return verdicts.MayHaveRun(code=errors.Code.BAD_ANSWER)
            case _:
                return Answered(head=head, reply=self._reply, kind=kind)

    def _find_refusal_code(self, head: web.ResponseHead) -> errors.Code:
        if not self._context.codec.is_from_other_instance(
            head, endpoint_id=self.endpoint.name
        ):
            return errors.Code.ENDPOINT_REFUSED
        self.endpoint.health.mark_replaced(self._context.now())
        return errors.Code.ENDPOINT_REPLACED

    def _drain_short_answer(self) -> None:
        """Reads the rest of a short answer, to reuse its connection."""
        drain = fail_on_timeout(
            self._reply.read_body(web.ReadKind.CONTROL),
            self._context.reactor,
            1.0,
        )
        reply, self._reply = self._reply, None

        def handle_failure(reason) -> None:
            reply.close()
            if reason.check(web.BoundExceededError):
                self.record_failure()

        drain.addErrback(handle_failure)

    def _handle_exchange_error(
        self, reason: web.ExchangeError
    ) -> AttemptResult:
        now = self._context.now()
        if isinstance(reason, _sends.SendDeniedError):
            return verdicts.NotRun(code=reason.code)
        if not reason.was_sent:
            self.endpoint.health.mark_unreachable(now)
            return verdicts.NotRun(code=reason.code)
        self.close()
        self.record_failure()
        return verdicts.MayHaveRun(code=reason.code)

    def _handle_cancellation(self, overdue_s: float | None) -> None:
        """Records an attempt that has ended without a result."""
        now = self._context.now()
        self._log(verdicts.MayHaveRun(code=errors.Code.CANCELLED))
        if overdue_s is None or now - self.began_at < overdue_s:
            return
        if self.endpoint.health.is_silent(now):
            self.endpoint.health.mark_unreachable(now)
        if self.was_sent:
            self.record_failure()

    def _handle_timeout(self) -> AttemptResult:
        now = self._context.now()
        is_silent = self.endpoint.health.is_silent(now)
        self.close()
        if is_silent or self._is_connecting:
            self.endpoint.health.mark_unreachable(now)
        if not self.was_sent:
            return verdicts.NotRun(code=errors.Code.ENDPOINT_UNREACHABLE)
        self.record_failure()
        return verdicts.MayHaveRun(code=errors.Code.ENDPOINT_SILENT)

    def _log(self, result: AttemptResult) -> None:
        match result:
            case Answered(head=head, kind=kind):
                outcome = f"{kind.value} {head.status}"
            case _:
                name = verdicts.name_verdict(result)
                outcome = f"{name} ({result.code})"
        _LOG.info(
            "attempt: request %s at %s: %s.",
            self._request_id,
            self.endpoint.name,
            outcome,
            extra={
                "request": self._request_id,
                "workspace": self._workspace_name,
                "attempt": self._number,
                "endpoint": self.endpoint.name,
                "software_version": self.endpoint.record.software_version,
                "outcome": outcome,
                "taken_ms": round((self._context.now() - self.began_at) * 1000),
                "in_flight": self.endpoint.in_flight,
                "failure_rate": round(
                    self.endpoint.health.compute_failure_rate(
                        self._context.now()
                    ),
                    2,
                ),
            },
        )


@contextlib.contextmanager
def hold_slot(endpoint: dispatch.Endpoint):
    """Counts a request as in flight at an endpoint within the block."""
    endpoint.in_flight += 1
    try:
        yield
    finally:
        endpoint.in_flight -= 1
