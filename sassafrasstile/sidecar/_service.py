"""The kernel of a sidecar beside a plain service.

It sends calls to the service. A call that may not be repeated runs at most
once: its key is in this kernel's table from before the call is sent.
"""

import collections
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.sidecar import _base
from sassafrasstile.sidecar import _once

_LOG = logging.getLogger("sassafrasstile.sidecar")
_FENCED_KEPT = 8192

CallState = _once.CallState


class ServiceKernel:
    """Decides which calls a plain service gets.

    Args:
        name: The endpoint's name.
        incarnation: This process's incarnation.
        service: The service's name.
        slots: Calls at the service at once.
        retain_s: Seconds that the outcome of a call is kept.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        service: str,
        slots: int = 64,
        retain_s: float = 3600.0,
    ):
        self.name = name
        self.incarnation = incarnation
        self.service = service
        self.slots = slots
        self.leaving = False
        self._once = _once.OnceTable(retain_s=retain_s)
        self._running: dict[str, tuple[_base.Owner, messages.Call]] = {}
        self._fenced: collections.OrderedDict[_base.Owner, None] = (
            collections.OrderedDict()
        )
        self._effects: list[_base.Effect] = []
        self.executions: collections.Counter[str] = collections.Counter()

    # Inputs.

    def start(self, now: float) -> list[_base.Effect]:
        """Starts the kernel."""
        return self._end()

    def receive(self, batch: messages.Batch, now: float) -> list[_base.Effect]:
        """Handles a batch from a gateway.

        Args:
            batch: The batch.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        if batch.target and batch.target != self.incarnation:
            return self._end()
        for message in batch.messages:
            if isinstance(message, messages.Renew):
                renewed = messages.Renewed()
                self._effects.append(
                    _base.Send(peer=batch.sender, message=renewed)
                )
                continue
            owner = _base.Owner(
                gateway=batch.sender,
                incarnation=batch.incarnation,
                attempt=message.attempt,
            )
            match message:
                case messages.Call():
                    self._call(owner, message, now)
                case messages.Inquire():
                    self._inquire(owner, message)
                case messages.Cancel():
                    self._cancel(owner)
                case _:
                    self._refuse(owner, message, errors.Code.WRONG_ROLE)
        return self._end()

    def finish_call(
        self,
        call_id: str,
        *,
        status: int,
        content_type: str,
        body: bytes,
        now: float,
    ) -> list[_base.Effect]:
        """Notes the service's answer to a call."""
        owner, order = self._running.pop(call_id)
        answer = messages.CallAnswered(
            request_id=order.request_id,
            attempt=owner.attempt,
            status=status,
            content_type=content_type,
            body=body,
        )
        if order.repeatable:
            self._send(owner, answer)
            return self._end()
        entry = self._once.find(order.key)
        entry.answer = answer
        waiters = self._once.settle(entry, CallState.ANSWERED, now=now)
        for index, waiter in enumerate(waiters):
            self._send_answer(waiter, entry, replayed=index > 0)
        return self._end()

    def fail_call(
        self, call_id: str, *, sent: bool, now: float
    ) -> list[_base.Effect]:
        """Notes that a call got no answer.

        Args:
            call_id: The call.
            sent: False only when no byte of it left for the service.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        owner, order = self._running.pop(call_id)
        waiters = [owner]
        if not order.repeatable:
            entry = self._once.find(order.key)
            waiters = self._once.settle(entry, CallState.UNKNOWN, now=now)
            if not sent:
                self._once.remove(order.key)
                self.executions[order.key] -= 1
        for waiter in waiters:
            self._fail(
                waiter,
                order.request_id,
                verdict=(
                    verdicts.VerdictName.MAY_HAVE_RUN
                    if sent
                    else verdicts.VerdictName.NOT_RUN
                ),
                code=errors.Code.SERVICE_FAILED,
            )
        return self._end()

    def drain(self, now: float) -> list[_base.Effect]:
        """Stops taking new work. Calls that run go on."""
        if not self.leaving:
            _LOG.info("sidecar %s: drains. New work is refused.", self.name)
        self.leaving = True
        return self._end()

    def tick(self, now: float) -> list[_base.Effect]:
        """Forgets old outcomes and checks invariants."""
        self._once.forget_old(now=now)
        return self._end()

    # What others may look at.

    def is_idle(self) -> bool:
        """Says whether no call runs."""
        return not self._running

    def describe_load(self) -> messages.Load:
        """Returns the load for the next batch."""
        return messages.Load(
            leaving=self.leaving,
            slots=self.slots,
            free_slots=max(0, self.slots - len(self._running)),
        )

    def list_held(self) -> list[str]:
        """Returns the calls that run, sorted."""
        return sorted(self._running)

    # Messages.

    def _call(
        self, owner: _base.Owner, order: messages.Call, now: float
    ) -> None:
        if owner in self._fenced:
            self._refuse(owner, order, errors.Code.CANCELLED)
            return
        entry = None if order.repeatable else self._once.find(order.key)
        if entry is not None:
            self._answer_known(owner, order, entry)
            return
        code = self._check_new_call(order)
        if code is not None:
            self._refuse(owner, order, code)
            return
        if not order.repeatable:
            self._once.add(
                _once.Entry(
                    key=order.key,
                    digest=order.digest,
                    state=CallState.RUNNING,
                    waiters=[owner],
                )
            )
        self._run(owner, order)

    def _check_new_call(self, order: messages.Call) -> errors.Code | None:
        if self.leaving:
            return errors.Code.LEAVING
        if order.service != self.service:
            return errors.Code.WRONG_ROLE
        if len(self._running) >= self.slots:
            return errors.Code.NO_CAPACITY
        return None

    def _run(self, owner: _base.Owner, order: messages.Call) -> None:
        call_id = f"{order.request_id}.{owner.incarnation}.{owner.attempt}"
        if call_id in self._running:
            return
        if not order.repeatable:
            self._count_execution(order.key)
        _LOG.info(
            "sidecar %s: request %s: sends %s %s to the service.",
            self.name,
            order.request_id,
            order.method,
            order.path,
        )
        self._running[call_id] = (owner, order)
        self._effects.append(_base.RunCall(call_id=call_id, order=order))

    def _count_execution(self, key: str) -> None:
        self.executions[key] += 1
        if self.executions[key] > 1:
            raise errors.InvariantError(
                name="at_most_once",
                detail=f"{self.name} sends {key} to the service again",
            )

    def _answer_known(
        self, owner: _base.Owner, order: messages.Call, entry: _once.Entry
    ) -> None:
        if entry.digest and entry.digest != order.digest:
            self._refuse(owner, order, errors.Code.KEY_REUSED)
            return
        match entry.state:
            case CallState.ANSWERED:
                self._send_answer(owner, entry, replayed=True)
            case CallState.UNKNOWN:
                self._fail(
                    owner,
                    order.request_id,
                    verdict=verdicts.VerdictName.MAY_HAVE_RUN,
                    code=errors.Code.OUTCOME_UNKNOWN,
                )
            case _:
                if owner not in entry.waiters:
                    entry.waiters.append(owner)

    def _inquire(self, owner: _base.Owner, message: messages.Inquire) -> None:
        entry = self._once.find(message.key)
        status = messages.KeyStatus(
            request_id=message.request_id,
            attempt=message.attempt,
            verdict=verdicts.VerdictName.MAY_HAVE_RUN,
            code=errors.Code.OUTCOME_UNKNOWN,
        )
        if entry is not None and entry.state is CallState.ANSWERED:
            status = messages.KeyStatus(
                request_id=message.request_id,
                attempt=message.attempt,
                verdict=verdicts.VerdictName.RAN,
                status=entry.answer.status,
                content_type=entry.answer.content_type,
                body=entry.answer.body,
            )
        elif entry is not None and entry.state is not CallState.UNKNOWN:
            status = messages.KeyStatus(
                request_id=message.request_id,
                attempt=message.attempt,
                verdict=verdicts.VerdictName.MAY_HAVE_RUN,
                code=errors.Code.IN_PROGRESS,
            )
        self._send(owner, status)

    def _cancel(self, owner: _base.Owner) -> None:
        self._fenced[owner] = None
        if len(self._fenced) > _FENCED_KEPT:
            self._fenced.popitem(last=False)

    def _end(self) -> list[_base.Effect]:
        effects = self._effects
        self._effects = []
        return effects

    # Messages to gateways.

    def _send(self, owner: _base.Owner, message: messages.Message) -> None:
        self._effects.append(_base.Send(peer=owner.gateway, message=message))

    def _send_answer(
        self, owner: _base.Owner, entry: _once.Entry, *, replayed: bool
    ) -> None:
        self._send(
            owner,
            messages.CallAnswered(
                request_id=entry.answer.request_id,
                attempt=owner.attempt,
                status=entry.answer.status,
                content_type=entry.answer.content_type,
                body=entry.answer.body,
                replayed=replayed,
            ),
        )

    def _fail(
        self,
        owner: _base.Owner,
        request_id: str,
        *,
        verdict: verdicts.VerdictName,
        code: str,
    ) -> None:
        self._send(
            owner,
            messages.Failed(
                request_id=request_id,
                attempt=owner.attempt,
                verdict=verdict,
                code=code,
            ),
        )

    def _refuse(
        self,
        owner: _base.Owner,
        message: messages.Attempted,
        code: errors.Code,
    ) -> None:
        _LOG.info(
            "sidecar %s: request %s: refuses %s. Reason: %s.",
            self.name,
            message.request_id,
            type(message).__name__,
            code,
        )
        self._fail(
            owner,
            message.request_id,
            verdict=verdicts.VerdictName.NOT_RUN,
            code=code,
        )
