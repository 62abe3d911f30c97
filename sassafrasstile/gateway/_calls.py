"""Calls to plain services."""

import dataclasses
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _owners

_LOG = logging.getLogger("sassafrasstile.gateway")


@dataclasses.dataclass(kw_only=True)
class PendingCall:
    """One call, or one question about a call, in flight.

    Attributes:
        request: The call or the question.
        deadline: Until when the answer must be there, in kernel time.
        attempt: The number of the attempt now, or zero while it waits.
        tries: Attempts so far.
        endpoint: The endpoint of the attempt now, or None.
        excluded: Endpoints that failed this call.
        may_have_run: True once an attempt ended without proof.
    """

    request: _base.CallRequest | _base.InquiryRequest
    deadline: float
    attempt: int = 0
    tries: int = 0
    endpoint: _endpoints.Endpoint | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    @property
    def is_pinned(self) -> bool:
        """True when only the key's owner may take it."""
        match self.request:
            case _base.CallRequest(repeatable=True):
                return False
            case _:
                return True


class CallTable:
    """All calls of one gateway.

    Args:
        context: What the kernel's parts share.
        owners: Says which endpoint owns a key.
    """

    def __init__(self, *, context: _context.Context, owners: _owners.OwnerMap):
        self._context = context
        self._owners = owners
        self._calls: dict[str, PendingCall] = {}
        self._by_attempt: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    # Inputs.

    def submit(
        self,
        request: _base.CallRequest | _base.InquiryRequest,
        now: float,
    ) -> None:
        """Takes a call or a question about one."""
        self._context.budget.earn()
        item = PendingCall(request=request, deadline=now + request.limit_s)
        self._calls[request.request_id] = item
        if not self._context.endpoints.serves(
            role="service", serves=request.service
        ):
            self._end(item, verdicts.NotRun(code=errors.Code.UNKNOWN_SERVICE))
            return
        self._begin_attempt(item, now)

    def cancel(self, request_id: str, now: float) -> None:
        """Forgets a call whose caller has gone.

        A call that may not be repeated goes on: its outcome can be asked.
        """
        item = self._calls.pop(request_id, None)
        if item is not None:
            self._drop_attempt(item)

    def receive(
        self,
        endpoint: _endpoints.Endpoint,
        message: messages.Message,
        now: float,
    ) -> bool:
        """Handles a sidecar's message.

        Returns:
            False when the message isn't about a call in this table.
        """
        item = self._by_attempt.get(getattr(message, "attempt", 0))
        if item is None or item.endpoint is not endpoint:
            return False
        match message:
            case messages.CallAnswered():
                self._answer(item, message)
            case messages.KeyStatus():
                self._report(item, message)
            case messages.Failed():
                self._on_failed(item, endpoint, message, now)
        return True

    def lose_endpoint(self, endpoint: _endpoints.Endpoint, now: float) -> None:
        """Ends the attempts at an endpoint whose link has broken."""
        for attempt in sorted(endpoint.live):
            item = self._by_attempt.get(attempt)
            if item is not None:
                verdict = verdicts.MayHaveRun(code=errors.Code.ENDPOINT_LOST)
                self._fail_attempt(item, verdict, now)

    def tick(self, now: float) -> None:
        """Ends what has lasted too long and starts what waits."""
        for item in list(self._calls.values()):
            if now >= item.deadline:
                self._end_late(item)
            elif item.attempt == 0:
                self._begin_attempt(item, now)

    # Attempts.

    def _begin_attempt(self, item: PendingCall, now: float) -> None:
        endpoint = self._choose(item, now)
        if endpoint is None:
            return
        item.attempt = self._context.issue_attempt()
        item.tries += 1
        item.endpoint = endpoint
        self._by_attempt[item.attempt] = item
        endpoint.live.add(item.attempt)
        self._context.send(endpoint.name, self._make_message(item, now))

    def _choose(
        self, item: PendingCall, now: float
    ) -> _endpoints.Endpoint | None:
        request = item.request
        if not item.is_pinned:
            return self._context.choose(
                request_id=request.request_id,
                role="service",
                serves=request.service,
                tokens=0,
                zone="",
                excluded=item.excluded,
                now=now,
            )
        name = self._owners.find(service=request.service, key=request.key)
        endpoint = self._context.endpoints.get(name)
        if endpoint is None or not endpoint.connected:
            return None
        if now < endpoint.full_until:
            return None
        _LOG.info(
            "gateway %s: request %s: chooses %s for service. Reason: it owns "
            "the key.",
            self._context.name,
            request.request_id,
            endpoint.name,
        )
        return endpoint

    def _make_message(
        self, item: PendingCall, now: float
    ) -> messages.Attempted:
        match item.request:
            case _base.InquiryRequest() as request:
                return messages.Inquire(
                    request_id=request.request_id,
                    attempt=item.attempt,
                    key=request.key,
                )
            case request:
                return messages.Call(
                    request_id=request.request_id,
                    attempt=item.attempt,
                    key=request.key,
                    service=request.service,
                    method=request.method,
                    path=request.path,
                    content_type=request.content_type,
                    body=request.body,
                    repeatable=request.repeatable,
                    limit_s=max(0.0, item.deadline - now),
                    digest=request.digest,
                )

    # Ends of attempts.

    def _answer(
        self, item: PendingCall, message: messages.CallAnswered
    ) -> None:
        self._drop_attempt(item)
        self._calls.pop(item.request.request_id, None)
        self._context.emit(
            _base.Answer(
                request_id=item.request.request_id,
                status=message.status,
                content_type=message.content_type,
                body=message.body,
                replayed=message.replayed,
            )
        )

    def _report(self, item: PendingCall, message: messages.KeyStatus) -> None:
        self._drop_attempt(item)
        self._calls.pop(item.request.request_id, None)
        self._context.emit(
            _base.Report(request_id=item.request.request_id, status=message)
        )

    def _on_failed(
        self,
        item: PendingCall,
        endpoint: _endpoints.Endpoint,
        message: messages.Failed,
        now: float,
    ) -> None:
        verdict = verdicts.make_verdict(
            message.verdict,
            code=message.code,
            retry_after_s=message.retry_after_s,
        )
        if message.code == errors.Code.LEAVING:
            endpoint.leaving = True
        if message.code == errors.Code.KEY_REUSED:
            self._end(item, verdict)
            return
        if isinstance(verdict, verdicts.NotRun):
            pause_s = self._context.settings.full_pause_s
            endpoint.full_until = now + pause_s
        self._fail_attempt(item, verdict, now)

    def _fail_attempt(
        self, item: PendingCall, verdict: verdicts.Verdict, now: float
    ) -> None:
        endpoint = item.endpoint
        _LOG.info(
            "gateway %s: request %s: attempt %d failed at %s. Verdict: %s, %s.",
            self._context.name,
            item.request.request_id,
            item.attempt,
            endpoint.name,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._context.policy.observe(
            endpoint=endpoint.name, succeeded=False, now=now
        )
        self._drop_attempt(item)
        match item.request:
            case _base.CallRequest(repeatable=repeatable):
                pass
            case _:
                repeatable = True
        if not isinstance(verdict, verdicts.NotRun):
            item.may_have_run = True
            item.excluded.add(endpoint.name)
        if not verdicts.is_safe_to_retry(verdict, repeatable=repeatable):
            self._end(item, verdict)
            return
        if isinstance(verdict, verdicts.NotRun):
            return
        if item.tries >= self._context.settings.tries:
            self._end(item, verdict)
        elif not self._context.budget.spend():
            self._end(
                item, verdicts.MayHaveRun(code=errors.Code.RETRY_BUDGET_SPENT)
            )
        else:
            self._begin_attempt(item, now)

    def _end_late(self, item: PendingCall) -> None:
        code = errors.Code.DEADLINE_EXCEEDED
        if item.attempt or item.may_have_run:
            self._end(item, verdicts.MayHaveRun(code=code))
            return
        retry_after_s = self._context.settings.retry_after_s
        self._end(item, verdicts.NotRun(code=code, retry_after_s=retry_after_s))

    def _end(self, item: PendingCall, verdict: verdicts.Verdict) -> None:
        self._drop_attempt(item)
        self._calls.pop(item.request.request_id, None)
        _LOG.info(
            "gateway %s: request %s: refused. Verdict: %s, %s.",
            self._context.name,
            item.request.request_id,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._context.emit(
            _base.Refuse(
                request_id=item.request.request_id,
                verdict=verdict,
                detail="The call got no answer from the service.",
            )
        )

    def _drop_attempt(self, item: PendingCall) -> None:
        self._by_attempt.pop(item.attempt, None)
        if item.endpoint is not None:
            item.endpoint.live.discard(item.attempt)
        item.endpoint = None
        item.attempt = 0
