"""Holds: memory that an engine sets aside before a prompt is prefilled."""

import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _control_calls
from sassafrasstile.forwarding import _sends
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# An engine that hasn't answered after this time is taken to be unreachable; a
# probe shows soon whether it is.
_TIMEOUT_S = 0.25
_STATUS_GRANTED = 200
_STATUS_FULL = 503


@dataclasses.dataclass(frozen=True, kw_only=True)
class KvHold:
    """A slot and KV cache that an engine has set aside for one request.

    Attributes:
        endpoint: The engine.
        token: The name of the hold at that engine.
        expires_at: The time from which the engine may have freed it, in
            seconds.
    """

    endpoint: dispatch.Endpoint
    token: str
    expires_at: float


class HoldTaker:
    """Asks decode engines to set memory aside.

    While several gateways fill an engine, only the engine knows whether it has
    room. Asking it costs a few milliseconds; a prompt that was prefilled for
    an engine without room may be lost.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    def is_needed(self, task: _task.RequestTask, grant: dispatch.Grant) -> bool:
        """Returns whether a grant has to be confirmed by its decode engine."""
        if _sends.needs_permit(self._context, grant.decode):
            # Two requests would take twice as many permits.
            return False
        return self._context.placement.needs_hold(grant, service=task.service)

    async def take(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        *,
        generated_tokens: int = 0,
    ) -> KvHold | verdicts.NotRun | None:
        """Asks the decode engine of a grant to set memory aside.

        Args:
            task: The request.
            grant: Its grant.
            generated_tokens: Tokens of a resumed stream that its caller has.

        Returns:
            The hold; a verdict when the engine has no room or is gone; None
            when it gave no usable answer, so that nothing is known.
        """
        context = self._context
        endpoint = grant.decode
        # A hold whose answer is lost stays until it expires; after its target
        # the request doesn't need it.
        ttl_s = min(task.service.engine.hold_s, task.route.target_s)
        outgoing = context.codec.encode_hold(
            record=endpoint.record,
            tokens=grant.size.prompt_tokens + generated_tokens,
            ttl_s=ttl_s,
        )
        expires_at = context.now() + ttl_s
        calling = _control_calls.call_endpoint(
            context, endpoint, outgoing, timeout_s=_TIMEOUT_S
        )
        try:
            answer = await _wait_without_cancelling(calling)
            result = self._decode(endpoint, answer, expires_at)
        except defer.CancelledError:
            self._release_when_granted(endpoint, calling, expires_at)
            raise
        except _sends.SendDeniedError as reason:
            return verdicts.NotRun(code=reason.code)
        except (web.ExchangeError, defer.TimeoutError) as reason:
            self._log(task, endpoint, f"no answer ({reason})")
            endpoint.health.mark_unreachable(context.now())
            return verdicts.NotRun(code=errors.Code.ENDPOINT_UNREACHABLE)
        except errors.Error as reason:
            self._log(task, endpoint, f"no usable answer ({reason})")
            return None
        outcome = "full or gone"
        if isinstance(result, KvHold):
            outcome = "granted"
        self._log(task, endpoint, outcome)
        return result

    def _decode(
        self,
        endpoint: dispatch.Endpoint,
        answer: _control_calls.ControlAnswer,
        expires_at: float,
    ) -> KvHold | verdicts.NotRun:
        """Returns the hold or the verdict in an answer.

        Raises:
            errors.Error: The answer is neither.
        """
        context = self._context
        now = context.now()
        if context.codec.is_from_other_instance(
            answer.head, endpoint_id=endpoint.name
        ):
            endpoint.health.mark_replaced(now)
            return verdicts.NotRun(code=errors.Code.ENDPOINT_FULL)
        status = answer.head.status
        if status == _STATUS_GRANTED:
            return KvHold(
                endpoint=endpoint,
                token=context.codec.decode_hold(answer.body),
                expires_at=expires_at,
            )
        if status == _STATUS_FULL:
            endpoint.record_refusal(now)
            return verdicts.NotRun(code=errors.Code.ENDPOINT_FULL)
        raise errors.Error(
            code=errors.Code.BAD_ANSWER, detail=f"status {status}"
        )

    def _release_when_granted(
        self,
        endpoint: dispatch.Endpoint,
        calling: defer.Deferred,
        expires_at: float,
    ) -> None:
        """Releases a hold that is granted after its request has ended."""

        def release(answer: _control_calls.ControlAnswer) -> None:
            result = self._decode(endpoint, answer, expires_at)
            if isinstance(result, KvHold):
                self.release(result)

        calling.addCallback(release)
        calling.addErrback(
            lambda reason: reason.trap(errors.Error, defer.TimeoutError)
        )

    def release(self, hold: KvHold) -> None:
        """Returns memory that no request will use."""
        outgoing = self._context.codec.encode_hold_release(
            record=hold.endpoint.record, token=hold.token
        )

        def log_failure(reason):
            # The hold expires by itself.
            _LOG.info(
                "hold: not released at %s: %s.",
                hold.endpoint.name,
                reason.getErrorMessage(),
            )

        releasing = _control_calls.call_endpoint(
            self._context,
            hold.endpoint,
            outgoing,
            timeout_s=_TIMEOUT_S,
            is_release=True,
        )
        releasing.addErrback(log_failure)

    def _log(
        self,
        task: _task.RequestTask,
        endpoint: dispatch.Endpoint,
        outcome: str,
    ) -> None:
        _LOG.info(
            "hold: request %s at %s: %s.",
            task.request_id,
            endpoint.name,
            outcome,
            extra={
                "request": task.request_id,
                "workspace": task.workspace_name,
                "endpoint": endpoint.name,
                "reserved_tokens": endpoint.total_reserved_tokens,
                "outcome": outcome,
            },
        )


def _wait_without_cancelling(work: defer.Deferred) -> defer.Deferred:
    """Returns a Deferred with the result of work that may not be cancelled.

    Cancelling it leaves the work running.
    """
    waiting: defer.Deferred = defer.Deferred()

    def pass_on(result):
        if not waiting.called:
            waiting.callback(result)
            return None
        return result

    work.addBoth(pass_on)
    return waiting
