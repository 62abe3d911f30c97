"""Endpoints of the soak: engines and services, each with its sidecar."""

import collections

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import ownership
from sassafrasstile import sidecar
from sassafrasstile import standins
from sassafrasstile.soak import _world

MODEL = "writer"
SERVICE = "desk"
_TICK_INTERVAL_S = 0.1
_CALL_DELAY_S = (0.0005, 0.003)
_CALL_DURATION_S = (0.02, 0.3)
_LOG_POLL_INTERVAL_S = 0.05


class SidecarNode(_world.Node):
    """Base class of sidecars with their endpoints.

    Args:
        world: The world.
        name: The endpoint's name.
        oracle: Records the work that really runs.
    """

    def __init__(self, *, world: _world.World, name: str, oracle):
        super().__init__(world=world, name=name)
        self.oracle = oracle
        self.links: dict[str, object] = {}
        self.kernel = None
        self.draining_since: float | None = None
        self.started_at = 0.0

    def start(self) -> None:
        """Starts a new incarnation."""
        self.begin_incarnation()
        self.draining_since = None
        self.started_at = self.world.now
        self.kernel = self.make_kernel(f"{self.name}.{self.incarnation}")
        self.apply(self.kernel.start(self.world.now))
        self.repeat(
            _TICK_INTERVAL_S,
            lambda: self.apply(self.kernel.tick(self.world.now)),
        )
        for link in self.links.values():
            link.try_connect()

    def make_kernel(self, incarnation: str):
        """Returns the kernel of a new incarnation."""
        raise NotImplementedError

    def make_batch(self, ready: tuple[messages.Message, ...]) -> messages.Batch:
        """Returns a batch of messages."""
        return messages.Batch(
            sender=self.name,
            incarnation=self.kernel.incarnation,
            load=self.kernel.describe_load(),
            messages=ready,
        )

    def receive(self, batch: messages.Batch) -> None:
        """Handles a batch."""
        self.apply(self.kernel.receive(batch, self.world.now))

    def drain(self) -> None:
        """Drains the endpoint and restarts it once it is idle."""
        if (
            not self.is_alive
            or self.is_paused
            or self.draining_since is not None
        ):
            return
        self.world.add_trace_line(f"{self.name} drains")
        self.draining_since = self.world.now
        self.apply(self.kernel.drain(self.world.now))
        incarnation = self.incarnation

        def check_idle():
            if not self.is_alive or self.incarnation != incarnation:
                return
            if self.is_paused or not self.kernel.is_idle():
                self.world.call_later(0.2, check_idle)
                return
            self.world.add_trace_line(f"{self.name} has drained")
            for work in self.list_unfinished():
                self.oracle.report.record_violation(
                    "cut_off", f"{work} at {self.name}"
                )
            self.kill()
            self.world.call_later(1.0, self.start_if_dead)

        self.world.call_later(0.3, check_idle)

    def check_new_work(self, request_id: str) -> None:
        """Checks that no work starts 3 s or more after draining began."""
        if (
            self.draining_since is None
            or self.world.now - self.draining_since < 3.0
        ):
            return
        self.oracle.report.record_violation(
            "new_work_while_leaving", f"{request_id} at {self.name}"
        )

    def list_unfinished(self) -> list[str]:
        """Returns the work that stopping now would interrupt."""
        raise NotImplementedError

    def kill(self) -> None:
        """Kills the process and breaks its links."""
        if not self.is_alive:
            return
        self.end_incarnation()
        for link in self.links.values():
            link.reset()

    def start_if_dead(self) -> None:
        """Starts the process unless it is running."""
        if not self.is_alive:
            self.world.add_trace_line(f"{self.name} starts")
            self.start()

    def apply(self, effects: list[sidecar.Effect]) -> None:
        """Executes effects of the kernel."""
        for effect in effects:
            if isinstance(effect, sidecar.Send):
                if isinstance(effect.message, messages.Reserved):
                    self.check_new_work(effect.message.request_id)
                self.links[effect.peer].send_to_gateway(effect.message)
            else:
                self.carry_out(effect)

    def carry_out(self, effect: sidecar.Effect) -> None:
        """Executes an effect other than sending a message."""
        raise NotImplementedError


class EngineNode(SidecarNode):
    """A model engine and its sidecar.

    Args:
        world: The world.
        name: The endpoint's name.
        oracle: Records the work that really runs.
        role: `prefill` or `decode`.
        shape: The site's size and workload.
        engines: All engines by address, for transfers.
    """

    def __init__(self, *, world, name, oracle, role, shape, engines):
        super().__init__(world=world, name=name, oracle=oracle)
        self.role = role
        self.shape = shape
        self.engines = engines
        self.model = standins.EngineModel(speed=shape.speed)
        self.is_engine_alive = True
        self.stalled_until = 0.0
        self._timer = 0
        engines[name] = self

    def make_kernel(self, incarnation):
        """Returns the kernel of a new incarnation."""
        return sidecar.EngineKernel(
            name=self.name,
            incarnation=incarnation,
            role=self.role,
            model=MODEL,
            address=self.name,
            limits=self.shape.make_limits(),
        )

    def carry_out(self, effect):
        """Executes an effect other than sending a message."""
        delay_s = self.world.generator.uniform(*_CALL_DELAY_S)
        match effect:
            case sidecar.StartPrefill():
                action = self._start_prefill
            case sidecar.StartDecode():
                action = self._start_decode
            case sidecar.CancelWork():
                action = self._cancel
            case sidecar.ListWork():
                action = self._list_work
        incarnation = self.incarnation
        self.world.call_later(delay_s, lambda: action(effect, incarnation))

    def _notify_kernel(
        self, incarnation: int, method: str, *arguments, **parameters
    ) -> None:
        """Calls a method of the kernel, if the incarnation is still current.

        Args:
            incarnation: The incarnation of the sidecar to notify.
            method: The name of the kernel's method.
            *arguments: Its positional arguments.
            **parameters: Its keyword arguments without `now`.
        """

        def report():
            call = getattr(self.kernel, method)
            self.apply(call(*arguments, now=self.world.now, **parameters))

        self.deliver(incarnation, report)

    def list_unfinished(self):
        """Returns the work that stopping now would interrupt."""
        return self.model.list_work() if self.is_engine_alive else []

    # The engine.

    def kill_engine(self) -> None:
        """Kills the engine, which loses its work and its KV cache."""
        if not self.is_engine_alive:
            return
        self.world.add_trace_line(f"the engine of {self.name} dies")
        lost = self.model.list_work()
        self._replace_model()
        self.is_engine_alive = False
        for work_id in lost:
            self._notify_kernel(
                self.incarnation,
                "fail_work",
                work_id,
                code=errors.Code.ENGINE_FAILED,
                started=True,
            )

    def _replace_model(self) -> None:
        self.oracle.add_computed(self.model.computed_tokens)
        self.oracle.add_imported(self.model.exported_computed_tokens)
        self.model = standins.EngineModel(speed=self.shape.speed)
        self._timer += 1

    def start_engine(self) -> None:
        """Starts the engine without any work or KV cache."""
        self.is_engine_alive = True

    def stall(self, duration_s: float) -> None:
        """Delays the end of transfers from this engine for a time."""
        self.world.add_trace_line(f"transfers from {self.name} stall")
        self.stalled_until = self.world.now + duration_s

    def _start_prefill(
        self, effect: sidecar.StartPrefill, incarnation: int
    ) -> None:
        order = effect.message
        if not self._check_engine(effect.work_id, incarnation):
            return
        try:
            self.model.start_prefill(
                effect.work_id,
                prompt=order.prompt,
                tokens=order.prompt_tokens,
                priority=order.priority,
                now=self.world.now,
            )
        except standins.NotAcceptedError:
            self._refuse(effect.work_id, incarnation, errors.Code.NO_CAPACITY)
            return
        self.oracle.record_prefill(order.request_id)
        self.check_new_work(order.request_id)
        self._schedule()

    def _start_decode(
        self, effect: sidecar.StartDecode, incarnation: int
    ) -> None:
        order = effect.message
        if not self._check_engine(effect.work_id, incarnation):
            return
        source = self.engines[order.source_address]
        try:
            self.model.reserve_import(
                effect.work_id,
                tokens=order.prompt_tokens + order.max_tokens,
            )
        except standins.NotAcceptedError:
            self._refuse(effect.work_id, incarnation, errors.Code.NO_CAPACITY)
            return
        try:
            done_at = source.start_export(order.handle)
        except standins.NotAcceptedError:
            self.model.cancel(effect.work_id, now=self.world.now)
            self._refuse(
                effect.work_id, incarnation, errors.Code.TRANSFER_FAILED
            )
            return
        deadline = self.world.now + order.transfer_limit_s
        if done_at > deadline:
            self._call_at(
                deadline, lambda: self._time_out_transfer(effect, incarnation)
            )
            return
        self._call_at(
            done_at, lambda: self._finish_import(effect, incarnation, source)
        )

    def _call_at(self, at: float, action) -> None:
        self.world.call_later(max(0.0, at - self.world.now), action)

    def start_export(self, handle: str) -> float:
        """Starts the transfer of a KV cache.

        Args:
            handle: The handle of the finished prefill.

        Returns:
            The time at which the transfer ends.

        Raises:
            standins.NotAcceptedError: The engine is dead, or doesn't have the
                handle.
        """
        if not self.is_engine_alive:
            raise standins.NotAcceptedError(status=503, detail="dead")
        done_at = self.model.start_export(handle, now=self.world.now)
        return max(done_at, self.stalled_until)

    def _time_out_transfer(
        self, effect: sidecar.StartDecode, incarnation: int
    ) -> None:
        if effect.work_id not in self.model.list_work():
            return
        self.model.cancel(effect.work_id, now=self.world.now)
        self._notify_kernel(
            incarnation,
            "fail_work",
            effect.work_id,
            code=errors.Code.TRANSFER_FAILED,
            started=True,
        )

    def _finish_import(
        self,
        effect: sidecar.StartDecode,
        incarnation: int,
        source: "EngineNode",
    ) -> None:
        order = effect.message
        try:
            source.model.finish_export(order.handle)
            self.model.start_decode(
                effect.work_id,
                prompt=order.prompt,
                sent=len(order.sent),
                max_tokens=order.max_tokens,
                now=self.world.now,
            )
        except standins.NotAcceptedError:
            if effect.work_id in self.model.list_work():
                self.model.cancel(effect.work_id, now=self.world.now)
                self._refuse(
                    effect.work_id, incarnation, errors.Code.TRANSFER_FAILED
                )
            return
        self._schedule()

    def _cancel(self, effect: sidecar.CancelWork, incarnation: int) -> None:
        if self.is_engine_alive:
            self.model.cancel(effect.work_id, now=self.world.now)
            self._schedule()
        self._notify_kernel(incarnation, "confirm_cancel", effect.work_id)

    def _list_work(self, effect: sidecar.ListWork, incarnation: int) -> None:
        work = self.model.list_work() if self.is_engine_alive else []
        self._notify_kernel(incarnation, "reconcile_work", tuple(work))

    def _check_engine(self, work_id: str, incarnation: int) -> bool:
        if incarnation != self.incarnation or not self.is_alive:
            return False
        if not self.is_engine_alive:
            self._refuse(work_id, incarnation, errors.Code.ENGINE_FAILED)
        return self.is_engine_alive

    def _refuse(
        self, work_id: str, incarnation: int, code: errors.Code
    ) -> None:
        self._notify_kernel(
            incarnation, "fail_work", work_id, code=code, started=False
        )

    # The engine's steps.

    def _schedule(self) -> None:
        at = self.model.find_next_time()
        if at is None:
            return
        self._timer += 1
        timer = self._timer

        def advance_if_current():
            if timer == self._timer and self.is_engine_alive:
                self._advance()

        self.world.call_later(max(0.0, at - self.world.now), advance_if_current)

    def _advance(self) -> None:
        tokens: dict[str, list[str]] = collections.defaultdict(list)
        ends: dict[str, str] = {}
        for event in self.model.advance(self.world.now):
            match event:
                case standins.PrefillDone():
                    self._notify_kernel(
                        self.incarnation,
                        "finish_prefill",
                        event.work_id,
                        handle=event.work_id,
                        computed_tokens=event.computed_tokens,
                        took_s=0.0,
                    )
                case standins.Generated():
                    tokens[event.work_id].append(event.text)
                    if event.reason:
                        ends[event.work_id] = event.reason
        for work_id, texts in tokens.items():
            self._notify_kernel(
                self.incarnation, "add_tokens", work_id, tuple(texts)
            )
        for work_id, reason in ends.items():
            self._notify_kernel(
                self.incarnation, "finish_decode", work_id, reason=reason
            )
        self._schedule()


class ServiceNode(SidecarNode):
    """A plain service and its sidecar.

    Args:
        world: The world.
        name: The endpoint's name.
        oracle: Records the work that really runs.
        shape: The site's size and workload.
        log: The log.
        vms: The platform's list of VMs.
    """

    def __init__(self, *, world, name, oracle, shape, log, vms):
        super().__init__(world=world, name=name, oracle=oracle)
        self.shape = shape
        self.log = log
        self.vms = vms
        self.vm = f"vm-{name}"
        self._vm_count = 1
        self._next_offset = 0
        self._calls: set[str] = set()
        vms.add(self.vm)

    def replace_vm(self) -> None:
        """Moves the endpoint to a new VM."""
        self._vm_count += 1
        self.vm = f"vm-{self.name}-{self._vm_count}"
        self.vms.add(self.vm)

    def make_kernel(self, incarnation):
        """Returns the kernel of a new incarnation."""
        return sidecar.ServiceKernel(
            name=self.name,
            incarnation=incarnation,
            service=SERVICE,
            vm=self.vm,
            runs_unlogged=self.shape.runs_unlogged,
        )

    def start(self):
        """Starts a new incarnation."""
        self._next_offset = 0
        self._calls.clear()
        super().start()
        self.repeat(_LOG_POLL_INTERVAL_S, self._read_log)
        self.repeat(1.0, self._read_vms)

    def _read_log(self) -> None:
        page = self.log.read(self._next_offset)
        if page is None:
            return
        incarnation = self.incarnation

        def arrive():
            if page.entries:
                self._next_offset = page.entries[-1].offset + 1
            self.apply(
                self.kernel.replay_page(
                    page.entries,
                    first=page.first_offset,
                    after=page.next_offset,
                    now=self.world.now,
                )
            )

        self.deliver(incarnation, arrive)

    def _read_vms(self) -> None:
        vms = self.vms.list_vms()
        self.apply(self.kernel.update_vms(vms, self.world.now))

    def carry_out(self, effect):
        """Executes an effect other than sending a message."""
        incarnation = self.incarnation
        match effect:
            case sidecar.Append():
                body = ownership.encode_record(effect.record)
                self.log.append(
                    body, lambda ok: self._finish_append(incarnation, ok)
                )
            case sidecar.RunCall():
                delay_s = self.world.generator.uniform(*_CALL_DELAY_S)
                self.world.call_later(
                    delay_s, lambda: self._run_call(effect, incarnation)
                )

    def list_unfinished(self):
        """Returns the work that stopping now would interrupt."""
        return sorted(self._calls)

    def _finish_append(self, incarnation: int, succeeded: bool) -> None:
        self.deliver(
            incarnation,
            lambda: self.apply(
                self.kernel.finish_append(
                    succeeded=succeeded, now=self.world.now
                )
            ),
        )

    def _run_call(self, effect: sidecar.RunCall, incarnation: int) -> None:
        """Runs a call at the service, which goes on if the sidecar dies."""
        order = effect.call
        if not order.repeatable:
            self.oracle.record_execution(order.key, order.request_id)
        self._calls.add(effect.call_id)
        work_s = self.world.generator.uniform(*_CALL_DURATION_S)
        self.world.call_later(
            work_s, lambda: self._finish_call(effect, incarnation)
        )

    def _finish_call(self, effect: sidecar.RunCall, incarnation: int) -> None:
        self._calls.discard(effect.call_id)
        self.deliver(
            incarnation,
            lambda: self.apply(
                self.kernel.finish_call(
                    effect.call_id,
                    status=201,
                    content_type="text/plain",
                    body=effect.call.key.encode(),
                    now=self.world.now,
                )
            ),
        )
