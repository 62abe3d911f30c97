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
from sassafrasstile.gateway import _placements

_LOG = logging.getLogger("sassafrasstile.gateway")


@dataclasses.dataclass(kw_only=True, eq=False)
class PendingCall:
    """One call, or one question about a call, in flight.

    Attributes:
        request: The call or the question.
        deadline: Until when the answer must be there, in kernel time.
        placement: The attempt now, or None while it waits.
        tries: Attempts so far.
        excluded: Endpoints that failed this call.
        may_have_run: True once an attempt ended without proof.
        refused_by: Endpoints that said they don't own the key, since the
            last pause.
        wait_until: Until when no endpoint is asked.
        is_fresh: True while no earlier call with the key can have run: its
            caller says that this is the first, or its owner knows it.
    """

    request: _base.CallRequest | _base.InquiryRequest
    deadline: float
    placement: "_placements.Placement[PendingCall] | None" = None
    tries: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    refused_by: set[str] = dataclasses.field(default_factory=set)
    wait_until: float = 0.0
    is_fresh: bool = False

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
        """Takes a call or a question about one."""
        self._context.budget.earn()
        item = PendingCall(
            request=request,
            deadline=now + request.limit_s,
            is_fresh=_is_declared_fresh(request),
        )
        self._calls[request.request_id] = item
        if not self._context.endpoints.serves(
            role="service", serves=request.service
        ):
            item.is_fresh = True
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
        placement = self._placements.find(endpoint, message)
        if placement is None:
            return False
        item = placement.item
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
        for placement in self._placements.list_at(endpoint):
            verdict = verdicts.MayHaveRun(code=errors.Code.ENDPOINT_LOST)
            self._fail_attempt(placement.item, verdict, now)

    def tick(self, now: float) -> None:
        """Ends what has lasted too long and starts what waits."""
        for item in list(self._calls.values()):
            if now >= item.deadline:
                self._end_late(item)
            elif item.placement is None and now >= item.wait_until:
                self._begin_attempt(item, now)

    # Attempts.

    def _begin_attempt(self, item: PendingCall, now: float) -> None:
        endpoint = self._choose(item, now)
        if endpoint is None:
            return
        item.tries += 1
        item.placement = self._placements.open(
            endpoint, request_id=item.request.request_id, item=item
        )
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
        endpoint = self._find_owner(item, now)
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
        self, item: PendingCall, now: float
    ) -> _endpoints.Endpoint | None:
        """Returns the owner, or another endpoint that may know the owner."""
        request = item.request
        name = self._owners.find(service=request.service, key=request.key)
        names = [name, *self._owners.list_names(request.service)]
        for name in names:
            endpoint = self._context.endpoints.get(name)
            if endpoint is None or not endpoint.connected:
                continue
            if now >= endpoint.full_until:
                return endpoint
        return None

    def _make_message(
        self, item: PendingCall, now: float
    ) -> messages.Attempted:
        match item.request:
            case _base.InquiryRequest() as request:
                return messages.Inquire(
                    request_id=request.request_id,
                    attempt=item.placement.attempt,
                    key=request.key,
                )
            case request:
                return messages.Call(
                    request_id=request.request_id,
                    attempt=item.placement.attempt,
                    key=request.key,
                    service=request.service,
                    method=request.method,
                    path=request.path,
                    content_type=request.content_type,
                    body=request.body,
                    repeatable=request.repeatable,
                    limit_s=max(0.0, item.deadline - now),
                    digest=request.digest,
                    first=request.first and not item.may_have_run,
                    runs_unlogged=request.runs_unlogged,
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
            # This call didn't run; the key belongs to another one.
            item.is_fresh = True
            self._end(item, verdict)
            return
        if message.code == errors.Code.NOT_OWNER and message.owner:
            self._redirect(item, message.owner, now)
            return
        if isinstance(verdict, verdicts.NotRun):
            pause_s = self._context.settings.full_pause_s
            endpoint.full_until = now + pause_s
            self._forget_owner(item)
        self._fail_attempt(item, verdict, now)

    def _redirect(self, item: PendingCall, owner: str, now: float) -> None:
        """Goes to the owner that a refusal named.

        Endpoints that replay the log at different times may each name the
        other. Once the named one has refused too, the call waits.
        """
        request = item.request
        item.refused_by.add(item.placement.endpoint.name)
        self._drop_attempt(item)
        self._owners.learn(
            service=request.service, key=request.key, owner=owner
        )
        named = self._context.endpoints.get(owner)
        if owner in item.refused_by or named is None or not named.connected:
            item.refused_by.clear()
            item.wait_until = now + self._context.settings.owner_pause_s
            return
        self._begin_attempt(item, now)

    def _forget_owner(self, item: PendingCall) -> None:
        request = item.request
        self._owners.forget(service=request.service, key=request.key)

    def _fail_attempt(
        self, item: PendingCall, verdict: verdicts.Verdict, now: float
    ) -> None:
        placement = item.placement
        endpoint = placement.endpoint
        _LOG.info(
            "gateway %s: request %s: attempt %d failed at %s. Verdict: %s, %s.",
            self._context.name,
            item.request.request_id,
            placement.attempt,
            endpoint.name,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._context.policy.observe(
            endpoint=endpoint.name, succeeded=False, now=now
        )
        self._drop_attempt(item)
        repeatable = True
        if isinstance(item.request, _base.CallRequest):
            repeatable = item.request.repeatable
        if not isinstance(verdict, verdicts.NotRun):
            item.may_have_run = True
            item.excluded.add(endpoint.name)
        if not verdicts.is_safe_to_retry(verdict, repeatable=repeatable):
            if verdict.code != errors.Code.ENDPOINT_LOST:
                self._end(item, verdict)
            # Else it waits for the link and asks the owner again. The owner
            # knows the key, or has the former owner's claim on it.
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
        if item.placement or item.may_have_run:
            self._end(item, verdicts.MayHaveRun(code=code))
            return
        retry_after_s = self._context.settings.retry_after_s
        self._end(item, verdicts.NotRun(code=code, retry_after_s=retry_after_s))

    def _end(self, item: PendingCall, verdict: verdicts.Verdict) -> None:
        self._drop_attempt(item)
        self._calls.pop(item.request.request_id, None)
        if isinstance(verdict, verdicts.NotRun) and (
            item.may_have_run or not item.is_fresh
        ):
            verdict = verdicts.MayHaveRun(code=verdict.code)
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
        self._placements.drop(item.placement)
        item.placement = None


def _is_declared_fresh(
    request: _base.CallRequest | _base.InquiryRequest,
) -> bool:
    match request:
        case _base.CallRequest(repeatable=False):
            return request.first
        case _:
            return True
