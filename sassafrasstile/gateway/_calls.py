"""Calls to plain services, and inquiries about their outcome."""

import dataclasses
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _losses
from sassafrasstile.gateway import _owners
from sassafrasstile.gateway import _placements

_LOG = logging.getLogger("sassafrasstile.gateway")


@dataclasses.dataclass(kw_only=True, eq=False)
class PendingCall:
    """One call or inquiry in flight.

    Attributes:
        request: The call or the inquiry.
        deadline: When the call times out, in kernel time.
        placement: The current attempt, or None while the call waits.
        attempt_count: Attempts so far.
        excluded: Endpoints that failed this call.
        may_have_run: True once an attempt ended without proof that the call
            did not run.
        refused_by: Endpoints that refused the call as not the key's owner
            since its last backoff.
        wait_until: The end of the call's backoff, in kernel time.
        has_no_earlier_run: True when no earlier call with the key can have
            run: the caller declared this one the first, or the key's owner
            knows it.
        known_loss_offset: The loss offset of the service that was known
            before the call was received.
    """

    request: _base.CallRequest | _base.InquiryRequest
    deadline: float
    placement: "_placements.Placement[PendingCall] | None" = None
    attempt_count: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    refused_by: set[str] = dataclasses.field(default_factory=set)
    wait_until: float = 0.0
    has_no_earlier_run: bool = False
    known_loss_offset: int = 0

    @property
    def requires_owner(self) -> bool:
        """True when only the key's owner may handle the request."""
        match self.request:
            case _base.CallRequest(repeatable=True):
                return False
            case _:
                return True


class CallTable:
    """All calls and inquiries in flight at one gateway.

    Args:
        context: State shared by the parts of the kernel.
        owners: The known owners of idempotency keys.
        losses: The known losses of owners.
    """

    def __init__(
        self,
        *,
        context: _context.Context,
        owners: _owners.OwnerMap,
        losses: _losses.LossTable,
    ):
        self._context = context
        self._owners = owners
        self._losses = losses
        self._calls: dict[str, PendingCall] = {}
        self._placements: _placements.PlacementTable[PendingCall] = (
            _placements.PlacementTable(context=context)
        )

    def __len__(self) -> int:
        return len(self._calls)

    # Inputs.

    def submit(
        self,
        request: _base.CallRequest | _base.InquiryRequest,
        now: float,
    ) -> None:
        """Accepts a call or an inquiry and starts its first attempt."""
        self._context.budget.earn()
        call = PendingCall(
            request=request,
            deadline=now + request.limit_s,
            has_no_earlier_run=_is_declared_first(request),
            known_loss_offset=self._losses.find_offset(
                request.service, now=now
            ),
        )
        self._calls[request.request_id] = call
        if not self._context.endpoints.is_served(
            role="service", serves=request.service
        ):
            call.has_no_earlier_run = True
            self._refuse(
                call, verdicts.NotRun(code=errors.Code.UNKNOWN_SERVICE)
            )
            return
        self._start_attempt(call, now)

    def cancel(self, request_id: str, now: float) -> None:
        """Drops a call whose caller disconnected.

        A non-idempotent call continues to run, and its caller can inquire
        about the outcome later.
        """
        call = self._calls.pop(request_id, None)
        if call is not None:
            self._drop_attempt(call)

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
        placement = self._placements.find(endpoint, message)
        if placement is None:
            return False
        call = placement.item
        match message:
            case messages.CallAnswered():
                self._answer(call, message)
            case messages.KeyStatus():
                self._report(call, message)
            case messages.Failed():
                self._on_failed(call, endpoint, message, now)
        return True

    def fail_attempts_at(
        self, endpoint: _endpoints.Endpoint, now: float
    ) -> None:
        """Fails the attempts at an endpoint whose link was lost."""
        for placement in self._placements.list_at(endpoint):
            verdict = verdicts.MayHaveRun(code=errors.Code.ENDPOINT_LOST)
            self._fail_attempt(placement.item, verdict, now)

    def tick(self, now: float) -> None:
        """Times out overdue calls and starts attempts of waiting calls."""
        for call in list(self._calls.values()):
            if now >= call.deadline:
                self._refuse_unanswered(call, errors.Code.DEADLINE_EXCEEDED)
            elif call.placement is None and now >= call.wait_until:
                self._start_attempt(call, now)

    def end_all(self, code: errors.Code) -> None:
        """Refuses all calls and inquiries."""
        for call in list(self._calls.values()):
            self._refuse_unanswered(call, code)

    # Attempts.

    def _start_attempt(self, call: PendingCall, now: float) -> None:
        endpoint = self._choose_endpoint(call, now)
        if endpoint is None:
            return
        call.attempt_count += 1
        call.placement = self._placements.open(
            endpoint, request_id=call.request.request_id, item=call
        )
        self._context.send(endpoint.name, self._make_message(call, now))

    def _choose_endpoint(
        self, call: PendingCall, now: float
    ) -> _endpoints.Endpoint | None:
        request = call.request
        if not call.requires_owner:
            return self._context.choose_endpoint(
                request_id=request.request_id,
                role="service",
                serves=request.service,
                tokens=0,
                zone="",
                excluded=call.excluded,
                now=now,
            )
        endpoint = self._find_owner(call, now)
        if endpoint is None:
            return None
        _LOG.info(
            "gateway %s: request %s: chooses %s for service. Reason: it may "
            "own the key.",
            self._context.name,
            request.request_id,
            endpoint.name,
        )
        return endpoint

    def _find_owner(
        self, call: PendingCall, now: float
    ) -> _endpoints.Endpoint | None:
        """Returns the key's owner or another endpoint that may know it."""
        request = call.request
        name = self._owners.find_owner(service=request.service, key=request.key)
        names = [name, *self._owners.list_endpoints(request.service)]
        for name in names:
            endpoint = self._context.endpoints.get(name)
            if endpoint is None or not endpoint.connected:
                continue
            if now >= endpoint.full_until:
                return endpoint
        return None

    def _make_message(
        self, call: PendingCall, now: float
    ) -> messages.Attempted:
        match call.request:
            case _base.InquiryRequest() as request:
                return messages.Inquire(
                    request_id=request.request_id,
                    attempt=call.placement.attempt,
                    key=request.key,
                )
            case request:
                return messages.Call(
                    request_id=request.request_id,
                    attempt=call.placement.attempt,
                    key=request.key,
                    service=request.service,
                    method=request.method,
                    path=request.path,
                    content_type=request.content_type,
                    body=request.body,
                    repeatable=request.repeatable,
                    limit_s=max(0.0, call.deadline - now),
                    digest=request.digest,
                    first=request.first and not call.may_have_run,
                    runs_unlogged=request.runs_unlogged,
                    known_loss_offset=call.known_loss_offset,
                )

    # Ends of attempts.

    def _answer(
        self, call: PendingCall, message: messages.CallAnswered
    ) -> None:
        self._drop_attempt(call)
        self._calls.pop(call.request.request_id, None)
        self._context.emit(
            _base.Answer(
                request_id=call.request.request_id,
                status=message.status,
                content_type=message.content_type,
                body=message.body,
                replayed=message.replayed,
            )
        )

    def _report(self, call: PendingCall, message: messages.KeyStatus) -> None:
        self._drop_attempt(call)
        self._calls.pop(call.request.request_id, None)
        self._context.emit(
            _base.Report(request_id=call.request.request_id, status=message)
        )

    def _on_failed(
        self,
        call: PendingCall,
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
            # This call did not run: its key belongs to a different request.
            call.has_no_earlier_run = True
            self._refuse(call, verdict)
            return
        if message.code == errors.Code.OWNER_LOST:
            # No endpoint will run this call any more.
            retry_after_s = self._context.settings.retry_after_s
            self._refuse(
                call,
                verdicts.NotRun(code=message.code, retry_after_s=retry_after_s),
            )
            return
        if message.code == errors.Code.NOT_OWNER and message.owner:
            self._redirect(call, message.owner, now)
            return
        if isinstance(verdict, verdicts.NotRun):
            pause_s = self._context.settings.full_pause_s
            endpoint.full_until = now + pause_s
            self._forget_owner(call)
        self._fail_attempt(call, verdict, now)

    def _redirect(self, call: PendingCall, owner: str, now: float) -> None:
        """Retries a call at the owner that a refusal named.

        Endpoints that have replayed the log up to different offsets may each
        name the other as owner. Once the named one has refused as well, the
        call backs off. It also waits for a named one that is in its back-off.
        """
        request = call.request
        call.refused_by.add(call.placement.endpoint.name)
        self._drop_attempt(call)
        self._owners.record_owner(
            service=request.service, key=request.key, owner=owner
        )
        named = self._context.endpoints.get(owner)
        if owner in call.refused_by or named is None or not named.connected:
            call.refused_by.clear()
            call.wait_until = now + self._context.settings.owner_pause_s
            return
        call.wait_until = named.full_until
        if now >= call.wait_until:
            self._start_attempt(call, now)

    def _forget_owner(self, call: PendingCall) -> None:
        request = call.request
        self._owners.forget(service=request.service, key=request.key)

    def _fail_attempt(
        self, call: PendingCall, verdict: verdicts.Verdict, now: float
    ) -> None:
        placement = call.placement
        endpoint = placement.endpoint
        _LOG.info(
            "gateway %s: request %s: attempt %d failed at %s. Verdict: %s, %s.",
            self._context.name,
            call.request.request_id,
            placement.attempt,
            endpoint.name,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._context.policy.observe(
            endpoint=endpoint.name, succeeded=False, now=now
        )
        self._drop_attempt(call)
        repeatable = True
        if isinstance(call.request, _base.CallRequest):
            repeatable = call.request.repeatable
        if not isinstance(verdict, verdicts.NotRun):
            call.may_have_run = True
            call.excluded.add(endpoint.name)
        if not verdicts.is_safe_to_retry(verdict, repeatable=repeatable):
            if verdict.code != errors.Code.ENDPOINT_LOST:
                self._refuse(call, verdict)
            # After a lost link, the call waits and is sent to the owner
            # again. The owner knows the key, or has the former owner's claim
            # on it.
            return
        if isinstance(verdict, verdicts.NotRun):
            return
        if call.attempt_count >= self._context.settings.tries:
            self._refuse(call, verdict)
        elif not self._context.budget.spend():
            self._refuse(
                call, verdicts.MayHaveRun(code=errors.Code.RETRY_BUDGET_SPENT)
            )
        else:
            self._start_attempt(call, now)

    def _refuse_unanswered(self, call: PendingCall, code: errors.Code) -> None:
        if call.placement or call.may_have_run:
            self._refuse(call, verdicts.MayHaveRun(code=code))
            return
        retry_after_s = self._context.settings.retry_after_s
        self._refuse(
            call, verdicts.NotRun(code=code, retry_after_s=retry_after_s)
        )

    def _refuse(self, call: PendingCall, verdict: verdicts.Verdict) -> None:
        self._drop_attempt(call)
        self._calls.pop(call.request.request_id, None)
        if isinstance(verdict, verdicts.NotRun) and (
            call.may_have_run or not call.has_no_earlier_run
        ):
            verdict = verdicts.MayHaveRun(code=verdict.code)
        _LOG.info(
            "gateway %s: request %s: refused. Verdict: %s, %s.",
            self._context.name,
            call.request.request_id,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._context.emit(
            _base.Refuse(
                request_id=call.request.request_id,
                verdict=verdict,
                detail="The call got no answer from the service.",
            )
        )

    def _drop_attempt(self, call: PendingCall) -> None:
        self._placements.drop(call.placement)
        call.placement = None


def _is_declared_first(
    request: _base.CallRequest | _base.InquiryRequest,
) -> bool:
    match request:
        case _base.CallRequest(repeatable=False):
            return request.first
        case _:
            return True
