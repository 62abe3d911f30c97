"""The kernel of a model engine's sidecar.

It is the authority for the engine's memory: it grants, renews and releases
every hold. Each input takes the kernel time in seconds and returns effects.
"""

import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.sidecar import _base
from sassafrasstile.sidecar import _hold_manager
from sassafrasstile.sidecar import _holds
from sassafrasstile.sidecar import _invariants
from sassafrasstile.sidecar import _leases
from sassafrasstile.sidecar import _replies
from sassafrasstile.sidecar import _settings

_LOG = logging.getLogger("sassafrasstile.sidecar")
_RECONCILE_INTERVAL_S = 1.0

Phase = _holds.Phase


class EngineKernel:
    """Manages a model engine's memory and work for gateways.

    Args:
        name: The endpoint's name.
        incarnation: This process's incarnation.
        role: `prefill` or `decode`.
        model: The model that the engine serves.
        address: The engine's address for KV transfers.
        limits: The engine's capacity.
        leases: Lease times.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        role: str,
        model: str,
        address: str = "",
        limits: _settings.EngineLimits | None = None,
        leases: _settings.LeaseSettings | None = None,
    ):
        self.name = name
        self.incarnation = incarnation
        self.role = role
        self.model = model
        self.address = address
        self.limits = limits or _settings.EngineLimits()
        self.lease_settings = leases or _settings.LeaseSettings()
        self.leaving = False
        self._table = _holds.HoldTable(
            slots=self.limits.slots, pieces=self.limits.pieces
        )
        self._leases = _leases.LeaseTable(lease_s=self.lease_settings.lease_s)
        self._replies = _replies.Replies(name=name)
        self._hold_manager = _hold_manager.HoldManager(
            table=self._table, leases=self._leases, replies=self._replies
        )
        self._last_now: float | None = None
        self._next_reconcile_at = 0.0

    # Inputs.

    def start(self, now: float) -> list[_base.Effect]:
        """Asks the engine for work left by a former incarnation."""
        self._handle_suspension(now)
        self._replies.add(_base.ListWork())
        return self._collect_effects()

    def receive(self, batch: messages.Batch, now: float) -> list[_base.Effect]:
        """Handles a batch from a gateway.

        Args:
            batch: The batch.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        self._handle_suspension(now)
        if self._accepts(batch, now):
            for message in batch.messages:
                self._handle(batch, message, now)
        return self._collect_effects()

    def finish_prefill(
        self,
        work_id: str,
        *,
        handle: str,
        computed_tokens: int,
        took_s: float,
        now: float,
    ) -> list[_base.Effect]:
        """Records that the engine has finished a prefill."""
        self._handle_suspension(now)
        hold = self._find_work(work_id, Phase.PREFILLING)
        if hold is not None:
            hold.phase = Phase.PREFILLED
            hold.phase_deadline = now + self.limits.prefill_ttl_s
            self._replies.send(
                hold.attempt_id,
                messages.Prefilled(
                    request_id=hold.request_id,
                    attempt=hold.attempt_id.attempt,
                    source_address=self.address,
                    handle=handle,
                    computed_tokens=computed_tokens,
                    took_s=took_s,
                ),
            )
        return self._collect_effects()

    def add_tokens(
        self, work_id: str, texts: tuple[str, ...], *, now: float
    ) -> list[_base.Effect]:
        """Records tokens that the engine has generated."""
        self._handle_suspension(now)
        hold = self._find_work(work_id, Phase.DECODING)
        if hold is not None and texts:
            offset = len(hold.texts)
            hold.texts.extend(texts)
            self._replies.send_pieces(hold, offset)
        return self._collect_effects()

    def finish_decode(
        self, work_id: str, *, reason: str, now: float
    ) -> list[_base.Effect]:
        """Records that the engine has finished a decode."""
        self._handle_suspension(now)
        hold = self._find_work(work_id, Phase.DECODING)
        if hold is not None:
            hold.phase = Phase.FINISHED
            hold.tokens = len(hold.texts)
            hold.reason = reason
            hold.phase_deadline = now + self.lease_settings.retain_s
            self._replies.send_finished(hold)
            self._hold_manager.grant_waiting(now)
        return self._collect_effects()

    def fail_work(
        self, work_id: str, *, code: str, started: bool, now: float
    ) -> list[_base.Effect]:
        """Records that the engine has refused or dropped work.

        Args:
            work_id: The work.
            code: An `errors.Code`.
            started: False only when the engine reports that nothing has run.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        self._handle_suspension(now)
        hold = self._table.holds.get(work_id)
        if hold is not None and hold.phase in _holds.ENGINE_PHASES:
            if hold.phase is not Phase.RELEASING:
                verdict = (
                    verdicts.VerdictName.MAY_HAVE_RUN
                    if started
                    else verdicts.VerdictName.NOT_RUN
                )
                self._replies.fail_hold(hold, verdict=verdict, code=code)
            self._hold_manager.remove(hold, now)
        return self._collect_effects()

    def confirm_cancel(self, work_id: str, *, now: float) -> list[_base.Effect]:
        """Records that the engine has freed the memory of cancelled work."""
        self._handle_suspension(now)
        hold = self._table.holds.get(work_id)
        if hold is not None and hold.phase is Phase.RELEASING:
            self._hold_manager.remove(hold, now)
        return self._collect_effects()

    def reconcile_work(
        self, work_ids: tuple[str, ...], *, now: float
    ) -> list[_base.Effect]:
        """Cancels work on the engine that has no hold here.

        Args:
            work_ids: All work that the engine holds.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.
        """
        self._handle_suspension(now)
        for work_id in work_ids:
            if work_id not in self._table.holds:
                _LOG.info(
                    "sidecar %s: cancels %s. Reason: it has no hold.",
                    self.name,
                    work_id,
                )
                self._replies.add(_base.CancelWork(work_id=work_id))
        return self._collect_effects()

    def drain(self, now: float) -> list[_base.Effect]:
        """Stops accepting new work. Granted holds continue."""
        self._handle_suspension(now)
        if not self.leaving:
            _LOG.info("sidecar %s: draining. New work is refused.", self.name)
        self.leaving = True
        for hold in self._table.list_waiting():
            self._hold_manager.refuse(hold, errors.Code.LEAVING)
        return self._collect_effects()

    def tick(self, now: float) -> list[_base.Effect]:
        """Releases expired holds. To be called a few times a second."""
        self._handle_suspension(now)
        self._request_work_list(now)
        for hold in list(self._table.holds.values()):
            self._hold_manager.expire(hold, now)
        holders = {
            hold.attempt_id.gateway for hold in self._table.holds.values()
        }
        self._leases.remove_idle(now=now, holders=holders)
        _invariants.check_holds(
            self._table, self._leases, now=now, name=self.name
        )
        return self._collect_effects()

    def _request_work_list(self, now: float) -> None:
        """Asks the engine at intervals for the work that it holds.

        A cancellation may overtake the start of the work that it cancels,
        so the engine may keep work that no longer has a hold.
        """
        if now >= self._next_reconcile_at:
            self._next_reconcile_at = now + _RECONCILE_INTERVAL_S
            self._replies.add(_base.ListWork())

    # Queries.

    def is_idle(self) -> bool:
        """Returns whether every hold is finished."""
        return self._table.is_idle()

    def describe_load(self) -> messages.Load:
        """Returns the load for the next batch."""
        slots = self.limits.slots
        free_slots = slots - self._table.count_slots()
        if self.role == "prefill":
            slots = min(slots, self.limits.prefills)
            free_slots = min(free_slots, slots - self._table.count_prefills())
        return messages.Load(
            leaving=self.leaving,
            slots=slots,
            free_slots=max(0, free_slots),
            waiting=len(self._table.list_waiting()),
        )

    def list_held(self) -> list[str]:
        """Returns the sorted ids of the work that has engine memory."""
        return self._table.list_held()

    # Time and identity.

    def _handle_suspension(self, now: float) -> None:
        if self._last_now is not None:
            suspended_s = now - self._last_now
            if suspended_s > self.lease_settings.lease_s:
                _LOG.warning(
                    "sidecar %s: was suspended for %.1f s. Restarting every "
                    "lease.",
                    self.name,
                    suspended_s,
                )
                self._leases.extend_all(now=now)
        self._last_now = now

    def _collect_effects(self) -> list[_base.Effect]:
        return self._replies.take()

    def _accepts(self, batch: messages.Batch, now: float) -> bool:
        if batch.target and batch.target != self.incarnation:
            _LOG.info(
                "sidecar %s: drops a batch from %s. Reason: it is addressed to "
                "incarnation %s.",
                self.name,
                batch.sender,
                batch.target,
            )
            return False
        if not self._leases.is_current(
            gateway=batch.sender, incarnation=batch.incarnation
        ):
            return False
        replaced = self._leases.touch(
            gateway=batch.sender,
            incarnation=batch.incarnation,
            sent_at=batch.sent_at,
            now=now,
        )
        if replaced:
            self._release_previous_incarnation(
                batch.sender, batch.incarnation, now
            )
        return True

    def _release_previous_incarnation(
        self, gateway: str, incarnation: str, now: float
    ) -> None:
        for hold in list(self._table.holds.values()):
            if (
                hold.phase is Phase.FINISHED
                or hold.attempt_id.gateway != gateway
            ):
                continue
            if hold.attempt_id.incarnation != incarnation:
                self._hold_manager.abandon(hold, now, "its gateway restarted")

    # Messages.

    def _handle(
        self, batch: messages.Batch, message: messages.Message, now: float
    ) -> None:
        if isinstance(message, messages.Renew):
            self._renew(batch, message, now)
            return
        attempt_id = _holds.make_attempt_id(
            sender=batch.sender,
            incarnation=batch.incarnation,
            message=message,
        )
        match message:
            case messages.Reserve():
                self._reserve(attempt_id, message, now)
            case messages.Prefill():
                self._prefill(attempt_id, message)
            case messages.Decode():
                self._decode(attempt_id, message)
            case messages.Cancel():
                self._cancel(attempt_id, now)
            case messages.Resume():
                self._resume(attempt_id, message)
            case _:
                self._replies.refuse(
                    attempt_id, message, errors.Code.WRONG_ROLE
                )

    def _renew(
        self, batch: messages.Batch, message: messages.Renew, now: float
    ) -> None:
        is_newest = self._leases.renew(
            gateway=batch.sender,
            issued_below=message.issued_below,
            live=message.live,
        )
        self._replies.add(
            _base.Send(peer=batch.sender, message=messages.Renewed())
        )
        if not is_newest:
            return
        live = set(message.live)
        known = set()
        for hold in list(self._table.holds.values()):
            attempt_id = hold.attempt_id
            if attempt_id.incarnation != batch.incarnation:
                continue
            known.add(attempt_id.attempt)
            if attempt_id.attempt in live or hold.phase is Phase.FINISHED:
                continue
            if attempt_id.attempt < message.issued_below:
                self._hold_manager.release(
                    hold, now, "the gateway has abandoned it"
                )
        for attempt in sorted(live - known):
            attempt_id = _base.AttemptId(
                gateway=batch.sender,
                incarnation=batch.incarnation,
                attempt=attempt,
            )
            self._replies.report_unknown(attempt_id)

    def _reserve(
        self, attempt_id: _base.AttemptId, message: messages.Reserve, now: float
    ) -> None:
        known = self._table.find(attempt_id)
        if known is not None:
            if known.phase is Phase.RESERVED:
                self._replies.send_reserved(known)
            return
        code = self._check_new_work(attempt_id, message.model, role="decode")
        if code is not None:
            self._replies.refuse(attempt_id, message, code)
            return
        pieces = _holds.count_needed_pieces(
            message.tokens, tokens_per_piece=self.limits.tokens_per_piece
        )
        if pieces > self.limits.pieces:
            self._replies.refuse(
                attempt_id, message, errors.Code.REQUEST_TOO_LARGE
            )
            return
        fits = self._table.fits(pieces) and not self._table.list_waiting()
        if not fits and message.wait_s <= 0:
            self._replies.refuse(attempt_id, message, errors.Code.NO_CAPACITY)
            return
        hold = _holds.make_hold(
            attempt_id,
            message.request_id,
            phase=Phase.WAITING,
            pieces=pieces,
            priority=message.priority,
            phase_deadline=now + message.wait_s,
        )
        self._table.add(hold)
        if fits:
            self._hold_manager.grant(hold)

    def _prefill(
        self, attempt_id: _base.AttemptId, message: messages.Prefill
    ) -> None:
        if self._table.find(attempt_id) is not None:
            return
        code = self._check_new_work(attempt_id, message.model, role="prefill")
        pieces = _holds.count_needed_pieces(
            message.prompt_tokens,
            tokens_per_piece=self.limits.tokens_per_piece,
        )
        has_prefill_slot = self._table.count_prefills() < self.limits.prefills
        if code is None and not (has_prefill_slot and self._table.fits(pieces)):
            code = errors.Code.NO_CAPACITY
        if code is not None:
            self._replies.refuse(attempt_id, message, code)
            return
        hold = _holds.make_hold(
            attempt_id,
            message.request_id,
            phase=Phase.PREFILLING,
            pieces=pieces,
            priority=message.priority,
        )
        self._table.add(hold)
        _LOG.info(
            "sidecar %s: request %s: starts a prefill of %d tokens.",
            self.name,
            message.request_id,
            message.prompt_tokens,
        )
        self._replies.add(
            _base.StartPrefill(work_id=hold.work_id, message=message)
        )

    def _decode(
        self, attempt_id: _base.AttemptId, message: messages.Decode
    ) -> None:
        hold = self._table.find(attempt_id)
        if hold is None or hold.phase is Phase.RELEASING:
            self._replies.refuse(attempt_id, message, errors.Code.UNKNOWN_HOLD)
            return
        if hold.phase is not Phase.RESERVED:
            return
        hold.phase = Phase.DECODING
        hold.texts = list(message.sent)
        _LOG.info(
            "sidecar %s: request %s: starts a decode at offset %d from %s.",
            self.name,
            message.request_id,
            len(message.sent),
            message.source_address,
        )
        self._replies.add(
            _base.StartDecode(work_id=hold.work_id, message=message)
        )

    def _cancel(self, attempt_id: _base.AttemptId, now: float) -> None:
        hold = self._table.find(attempt_id)
        self._replies.record_ended(attempt_id)
        if hold is not None and hold.phase is not Phase.FINISHED:
            self._hold_manager.release(hold, now, "the gateway cancelled it")

    def _resume(
        self, attempt_id: _base.AttemptId, message: messages.Resume
    ) -> None:
        hold = self._table.find_answer(message.request_id)
        if hold is None or self._replies.has_ended(hold.attempt_id):
            self._replies.refuse(attempt_id, message, errors.Code.UNKNOWN_HOLD)
            return
        former = hold.attempt_id
        if former == attempt_id:
            return
        self._replies.fail_hold(
            hold,
            verdict=verdicts.VerdictName.MAY_HAVE_RUN,
            code=errors.Code.SUPERSEDED,
        )
        hold.attempt_id = attempt_id
        _LOG.info(
            "sidecar %s: request %s: resumed by gateway %s with %d tokens.",
            self.name,
            hold.request_id,
            attempt_id.gateway,
            len(hold.texts),
        )
        self._replies.send_resumed(hold, previous=former.attempt)
        self._replies.send_pieces(hold, 0)
        if hold.phase is Phase.FINISHED:
            self._replies.send_finished(hold)

    def _check_new_work(
        self, attempt_id: _base.AttemptId, model: str, *, role: str
    ) -> errors.Code | None:
        if self.leaving:
            return errors.Code.LEAVING
        if self.role != role or model != self.model:
            return errors.Code.WRONG_ROLE
        if self._replies.has_ended(attempt_id) or self._leases.is_abandoned(
            gateway=attempt_id.gateway, attempt=attempt_id.attempt
        ):
            return errors.Code.CANCELLED
        return None

    def _find_work(self, work_id: str, phase: Phase) -> _holds.Hold | None:
        hold = self._table.holds.get(work_id)
        if hold is None or hold.phase is not phase:
            return None
        return hold
