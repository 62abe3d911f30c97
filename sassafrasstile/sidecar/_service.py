"""The kernel of a plain service's sidecar.

It sends calls to the service. A call that may not be repeated runs at most
once: only the owner of its key runs it, after a claim in the log. While the
log is down the owner may run it without a claim, where the rule allows it.
"""

import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import ownership
from sassafrasstile import verdicts
from sassafrasstile.sidecar import _base
from sassafrasstile.sidecar import _claims
from sassafrasstile.sidecar import _idempotency
from sassafrasstile.sidecar import _replies
from sassafrasstile.sidecar import _settings

_LOG = logging.getLogger("sassafrasstile.sidecar")

CallState = _idempotency.CallState


class ServiceKernel:
    """Sends calls to a plain service, the unrepeatable ones at most once.

    Args:
        name: The endpoint's name.
        incarnation: This process's incarnation.
        service: The service's name.
        vm: The VM of the endpoint.
        slots: Maximum number of concurrent calls at the service.
        runs_unlogged: True when any rule lets calls run without a claim.
        claims: Times and sizes of claims.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        service: str,
        vm: str = "",
        slots: int = 64,
        runs_unlogged: bool = False,
        claims: _settings.ClaimSettings | None = None,
    ):
        self.name = name
        self.incarnation = incarnation
        self.service = service
        self.slots = slots
        self.leaving = False
        self.claim_settings = claims or _settings.ClaimSettings()
        self._idempotency_table = _idempotency.IdempotencyTable(
            retain_s=self.claim_settings.key_lifetime_s
        )
        self._claim_manager = _claims.ClaimManager(
            member=ownership.Member(
                endpoint=name,
                incarnation=incarnation,
                vm=vm,
                runs_unlogged=runs_unlogged,
            ),
            settings=self.claim_settings,
        )
        self._unlogged_keys: set[str] = set()
        # Every gateway that has sent a batch.
        self._gateways: set[str] = set()
        self._last_tick_at = 0.0
        self._running: dict[str, tuple[_base.AttemptId, messages.Call]] = {}
        self._replies = _replies.Replies(name=name)

    # Inputs.

    def start(self, now: float) -> list[_base.Effect]:
        """Starts the kernel."""
        return self._collect_effects()

    def receive(self, batch: messages.Batch, now: float) -> list[_base.Effect]:
        """Handles a batch from a gateway.

        Args:
            batch: The batch.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        if batch.target and batch.target != self.incarnation:
            return self._collect_effects()
        self._gateways.add(batch.sender)
        for message in batch.messages:
            if isinstance(message, messages.Renew):
                renewed = messages.Renewed()
                self._replies.add(
                    _base.Send(peer=batch.sender, message=renewed)
                )
                continue
            attempt_id = _base.AttemptId(
                gateway=batch.sender,
                incarnation=batch.incarnation,
                attempt=message.attempt,
            )
            match message:
                case messages.Call():
                    self._call(attempt_id, message, now)
                case messages.Inquire():
                    self._inquire(attempt_id, message)
                case messages.Cancel():
                    self._replies.record_ended(attempt_id)
                case _:
                    self._refuse(attempt_id, message, errors.Code.WRONG_ROLE)
        return self._collect_effects()

    def finish_call(
        self,
        call_id: str,
        *,
        status: int,
        content_type: str,
        body: bytes,
        now: float,
    ) -> list[_base.Effect]:
        """Records the service's answer to a call."""
        attempt_id, call = self._running.pop(call_id)
        answer = messages.CallAnswered(
            request_id=call.request_id,
            attempt=attempt_id.attempt,
            status=status,
            content_type=content_type,
            body=body,
        )
        if call.repeatable:
            self._replies.send(attempt_id, answer)
            return self._collect_effects()
        entry = self._idempotency_table.find(call.key)
        entry.answer = answer
        waiters = self._idempotency_table.settle(
            entry, CallState.ANSWERED, now=now
        )
        for index, waiter in enumerate(waiters):
            self._send_answer(waiter, entry, replayed=index > 0)
        return self._collect_effects()

    def fail_call(
        self, call_id: str, *, sent: bool, now: float
    ) -> list[_base.Effect]:
        """Records that a call got no answer.

        Args:
            call_id: The call.
            sent: False only when no byte of it was sent to the service.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        attempt_id, call = self._running.pop(call_id)
        waiters = [attempt_id]
        if not call.repeatable:
            entry = self._idempotency_table.find(call.key)
            waiters = self._idempotency_table.settle(
                entry, CallState.UNKNOWN, now=now
            )
            if not sent:
                self._idempotency_table.remove(call.key)
        for waiter in waiters:
            self._replies.fail(
                waiter,
                call.request_id,
                verdict=(
                    verdicts.VerdictName.MAY_HAVE_RUN
                    if sent
                    else verdicts.VerdictName.NOT_RUN
                ),
                code=errors.Code.SERVICE_FAILED,
            )
        return self._collect_effects()

    def replay_page(
        self,
        entries: tuple[ownership.LogEntry, ...],
        *,
        first: int,
        after: int,
        now: float,
    ) -> list[_base.Effect]:
        """Replays a page of the ownership stream.

        Args:
            entries: The records, in order.
            first: The oldest offset that the log keeps.
            after: The offset that the next record will get.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        loss_offset = self._claim_manager.state.loss_offset
        self._claim_manager.replay_page(
            entries, first=first, after=after, now=now
        )
        if self._claim_manager.state.loss_offset > loss_offset:
            self._announce_load()
        for entry in self._idempotency_table.list_claiming():
            self._settle_claim(entry, now)
        self._unlogged_keys = {
            key
            for key in self._unlogged_keys
            if self._claim_manager.state.find_claim(key) is None
        }
        self._append_next(now)
        return self._collect_effects()

    def _announce_load(self) -> None:
        """Sends gateways a batch, so that they learn the loss offset."""
        for gateway in sorted(self._gateways):
            self._replies.add(
                _base.Send(peer=gateway, message=messages.Renewed())
            )

    def finish_append(
        self, *, succeeded: bool, now: float
    ) -> list[_base.Effect]:
        """Records the end of an append. Only its replay shows its effect."""
        self._claim_manager.finish_append(succeeded=succeeded, now=now)
        self._append_next(now)
        return self._collect_effects()

    def update_vms(self, vms: frozenset[str], now: float) -> list[_base.Effect]:
        """Updates the VMs that exist according to the platform."""
        self._claim_manager.update_vms(vms)
        return self._collect_effects()

    def drain(self, now: float) -> list[_base.Effect]:
        """Refuses new calls, finishes running ones and releases the slots."""
        if not self.leaving:
            _LOG.info("sidecar %s: draining. New work is refused.", self.name)
        self.leaving = True
        self._append_next(now)
        return self._collect_effects()

    def tick(self, now: float) -> list[_base.Effect]:
        """Handles claims that timed out and appends the next record."""
        self._last_tick_at = now
        for entry in self._idempotency_table.list_claiming():
            if now >= entry.claim_deadline:
                self._handle_claim_timeout(entry, now)
        self._idempotency_table.remove_expired(
            now=now, must_retain=lambda key: self._must_retain(key)
        )
        self._append_next(now)
        return self._collect_effects()

    def _must_retain(self, key: str) -> bool:
        """Returns whether removing a key could let its call run again."""
        if key in self._unlogged_keys:
            return True
        return self._claim_manager.state.find_claim(key) is not None

    # Queries.

    def is_idle(self) -> bool:
        """Returns whether no call runs or waits and a drain may end.

        A drain may end when this sidecar has left, or when the log is
        unreachable and every call that ran is claimed.
        """
        if self._running or self._idempotency_table.has_claiming():
            return False
        if not self.leaving or self._claim_manager.is_not_member():
            return True
        return (
            not self._unlogged_keys
            and self._claim_manager.is_log_unreachable(self._last_tick_at)
        )

    def describe_load(self) -> messages.Load:
        """Returns the load for the next batch."""
        return messages.Load(
            leaving=self.leaving,
            slots=self.slots,
            free_slots=max(0, self.slots - len(self._running)),
            loss_offset=self._claim_manager.state.loss_offset,
        )

    def list_held(self) -> list[str]:
        """Returns the sorted ids of the running calls."""
        return sorted(self._running)

    # Messages.

    def _call(
        self, attempt_id: _base.AttemptId, call: messages.Call, now: float
    ) -> None:
        if self._replies.has_ended(attempt_id):
            return
        entry = (
            None if call.repeatable else self._idempotency_table.find(call.key)
        )
        if entry is not None:
            self._answer_known_key(attempt_id, call, entry)
            return
        code = self._check_new_call(call)
        if code is not None:
            self._refuse(attempt_id, call, code)
            return
        if call.repeatable:
            self._run(attempt_id, call)
            return
        self._claim(attempt_id, call, now)

    def _check_new_call(self, call: messages.Call) -> errors.Code | None:
        if self.leaving:
            return errors.Code.LEAVING
        if call.service != self.service:
            return errors.Code.WRONG_ROLE
        if len(self._running) >= self.slots:
            return errors.Code.NO_CAPACITY
        return None

    # Claims.

    def _claim(
        self, attempt_id: _base.AttemptId, call: messages.Call, now: float
    ) -> None:
        """Claims a key without an entry, or refuses its call."""
        match self._claim_manager.find_standing(call.key):
            case _claims.Standing.UNAVAILABLE:
                self._refuse(attempt_id, call, errors.Code.LOG_UNAVAILABLE)
                return
            case _claims.Standing.OTHER:
                self._refuse(attempt_id, call, errors.Code.NOT_OWNER)
                return
        entry = _idempotency.KeyEntry(
            key=call.key,
            digest=call.digest,
            state=CallState.CLAIMING,
            call=call,
            waiters=[attempt_id],
            claim_deadline=now + self.claim_settings.claim_wait_s,
        )
        self._idempotency_table.add(entry)
        if self._end_if_in_doubt(entry, now):
            return
        if self._claim_manager.is_claimed_here(call.key):
            # Claimed before, but refused when the claim timed out.
            self._run_claimed(entry)
            return
        self._claim_manager.request_claim(call.key)
        self._append_next(now)

    def _settle_claim(self, entry: _idempotency.KeyEntry, now: float) -> None:
        """Runs or ends a call when its claim has been replayed."""
        manager = self._claim_manager
        if (
            not manager.is_claimed_here(entry.key)
            and not manager.is_claimed_elsewhere(entry.key)
            and manager.find_standing(entry.key) is _claims.Standing.OTHER
        ):
            self._refuse_claim(entry, errors.Code.NOT_OWNER)
        elif self._end_if_in_doubt(entry, now):
            return
        elif manager.is_claimed_here(entry.key):
            self._run_claimed(entry)

    def _end_if_in_doubt(
        self, entry: _idempotency.KeyEntry, now: float
    ) -> bool:
        """Ends a call if a former owner may have run its key.

        A call that its caller declared the first of its key can't have run
        there if it was sent after that owner's death. One that was sent
        before hasn't run either, but a later call with its key may have.

        Returns:
            Whether the call has ended.
        """
        call = entry.call
        manager = self._claim_manager
        if manager.is_claimed_elsewhere(entry.key) or (
            manager.is_uncertain(entry.key) and not call.first
        ):
            manager.withdraw_claim(entry.key)
            self._fail_with_unknown_outcome(entry, now)
            return True
        if manager.precedes_loss(entry.key, call.known_loss_offset):
            self._refuse_claim(entry, errors.Code.OWNER_LOST)
            return True
        return False

    def _handle_claim_timeout(
        self, entry: _idempotency.KeyEntry, now: float
    ) -> None:
        """Runs a call without a claim, or refuses it, during a log outage."""
        if entry.call.runs_unlogged and self._claim_manager.may_run_unlogged(
            entry.key, now
        ):
            _LOG.info(
                "sidecar %s: request %s: runs without a claim. Reason: the "
                "log is unavailable and this sidecar owns the key.",
                self.name,
                entry.call.request_id,
            )
            self._unlogged_keys.add(entry.key)
            self._run_claimed(entry)
            return
        self._refuse_claim(entry, errors.Code.LOG_UNAVAILABLE)

    def _run_claimed(self, entry: _idempotency.KeyEntry) -> None:
        self._idempotency_table.start_run(entry)
        self._run(entry.waiters[0], entry.call)

    def _refuse_claim(
        self, entry: _idempotency.KeyEntry, code: errors.Code
    ) -> None:
        """Refuses a call that hasn't run and won't run for its waiters."""
        self._claim_manager.withdraw_claim(entry.key)
        self._idempotency_table.remove(entry.key)
        for waiter in entry.waiters:
            self._refuse(waiter, entry.call, code)

    def _fail_with_unknown_outcome(
        self, entry: _idempotency.KeyEntry, now: float
    ) -> None:
        request_id = entry.call.request_id
        for waiter in self._idempotency_table.settle(
            entry, CallState.UNKNOWN, now=now
        ):
            self._replies.fail(
                waiter,
                request_id,
                verdict=verdicts.VerdictName.MAY_HAVE_RUN,
                code=errors.Code.OUTCOME_UNKNOWN,
            )

    def _append_next(self, now: float) -> None:
        may_release = (
            not self._unlogged_keys
            and not self._list_running_keys()
            and not self._idempotency_table.has_claiming()
        )
        self._claim_manager.leaving = self.leaving
        record = self._claim_manager.choose_record(now, may_release=may_release)
        if record is not None:
            self._replies.add(_base.Append(record=record))

    def _list_running_keys(self) -> list[str]:
        return [
            call.key
            for _, call in self._running.values()
            if not call.repeatable
        ]

    def _run(self, attempt_id: _base.AttemptId, call: messages.Call) -> None:
        call_id = (
            f"{call.request_id}.{attempt_id.incarnation}.{attempt_id.attempt}"
        )
        if call_id in self._running:
            return
        if not call.repeatable:
            self._count_run(call.key)
        _LOG.info(
            "sidecar %s: request %s: sends %s %s to the service.",
            self.name,
            call.request_id,
            call.method,
            call.path,
        )
        self._running[call_id] = (attempt_id, call)
        self._replies.add(_base.RunCall(call_id=call_id, call=call))

    def _count_run(self, key: str) -> None:
        entry = self._idempotency_table.find(key)
        entry.run_count += 1
        if entry.run_count > 1:
            raise errors.InvariantError(
                name="at_most_once",
                detail=f"{self.name} sends {key} to the service again",
            )

    def _answer_known_key(
        self,
        attempt_id: _base.AttemptId,
        call: messages.Call,
        entry: _idempotency.KeyEntry,
    ) -> None:
        if entry.digest and entry.digest != call.digest:
            self._refuse(attempt_id, call, errors.Code.KEY_REUSED)
            return
        match entry.state:
            case CallState.ANSWERED:
                self._send_answer(attempt_id, entry, replayed=True)
            case CallState.UNKNOWN:
                self._replies.fail(
                    attempt_id,
                    call.request_id,
                    verdict=verdicts.VerdictName.MAY_HAVE_RUN,
                    code=errors.Code.OUTCOME_UNKNOWN,
                )
            case _:
                if attempt_id not in entry.waiters:
                    entry.waiters.append(attempt_id)

    def _inquire(
        self, attempt_id: _base.AttemptId, message: messages.Inquire
    ) -> None:
        entry = self._idempotency_table.find(message.key)
        if entry is None and (
            self._claim_manager.find_standing(message.key)
            is _claims.Standing.OTHER
        ):
            self._refuse(attempt_id, message, errors.Code.NOT_OWNER)
            return
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
        self._replies.send(attempt_id, status)

    def _collect_effects(self) -> list[_base.Effect]:
        return self._replies.take()

    # Messages to gateways.

    def _send_answer(
        self,
        attempt_id: _base.AttemptId,
        entry: _idempotency.KeyEntry,
        *,
        replayed: bool,
    ) -> None:
        self._replies.send(
            attempt_id,
            messages.CallAnswered(
                request_id=entry.answer.request_id,
                attempt=attempt_id.attempt,
                status=entry.answer.status,
                content_type=entry.answer.content_type,
                body=entry.answer.body,
                replayed=replayed,
            ),
        )

    def _refuse(
        self,
        attempt_id: _base.AttemptId,
        message: messages.Attempted,
        code: errors.Code,
    ) -> None:
        key_owner = ""
        if code is errors.Code.NOT_OWNER:
            key_owner = self._claim_manager.find_owner_name(message.key)
        self._replies.refuse(attempt_id, message, code, key_owner=key_owner)
