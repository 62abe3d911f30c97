"""The daemon of a sidecar, which runs beside an endpoint."""

import logging

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import engines
from sassafrasstile import errors
from sassafrasstile import liveness
from sassafrasstile import logs
from sassafrasstile import messages
from sassafrasstile import ownership
from sassafrasstile import plugins
from sassafrasstile import services
from sassafrasstile import settings
from sassafrasstile import sidecar
from sassafrasstile import telemetry
from sassafrasstile import web
from sassafrasstile import wire
from sassafrasstile.daemons import _base

_LOG = logging.getLogger("sassafrasstile.daemon")
_TICK_INTERVAL_S = 0.1
_DEFAULT_ADAPTERS = {
    "prefill": "openai",
    "decode": "openai",
    "service": "http",
}


class SidecarDaemon:
    """Runs a sidecar kernel and executes its effects.

    Args:
        reactor: The reactor; it must run on an asyncio event loop.
        name: The endpoint's name in the settings.
        site: The settings of the site.
    """

    def __init__(self, *, reactor, name: str, site: settings.Site):
        self.name = name
        self.site = site
        self.incarnation = _base.make_incarnation()
        self.metrics = telemetry.SidecarMetrics()
        self.port = 0
        self.admin_port = 0
        self._reactor = reactor
        self._endpoint = site.endpoints[name]
        self._is_service = self._endpoint.role == "service"
        self._kernel = _base.KernelProxy(
            kernel=self._make_kernel(), violations=self.metrics.violations
        )
        self._adapter = self._make_adapter()
        self._links = wire.LinkServer(
            make_batch=self._make_batch, on_batch=self._receive
        )
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor
        self._admin: _base.AdminPort | None = None
        self._log: logs.LogClient | None = None
        self._follower: logs.LogFollower | None = None
        self._liveness: liveness.LivenessSource | None = None

    def _make_kernel(self) -> sidecar.EngineKernel | sidecar.ServiceKernel:
        endpoint = self._endpoint
        if self._is_service:
            return sidecar.ServiceKernel(
                name=self.name,
                incarnation=self.incarnation,
                service=endpoint.serves,
                vm=endpoint.vm,
                runs_unlogged=any(
                    rule.during_outage == "run"
                    for rule in self.site.services[endpoint.serves].rules
                ),
                claims=self.site.services[endpoint.serves].claims,
            )
        return sidecar.EngineKernel(
            name=self.name,
            incarnation=self.incarnation,
            role=endpoint.role,
            model=endpoint.serves,
            address=endpoint.url,
            limits=endpoint.limits,
            leases=self.site.leases,
        )

    def _make_adapter(self) -> engines.Engine | services.Service:
        endpoint = self._endpoint
        kind = plugins.Kind.ENGINE
        if self._is_service:
            kind = plugins.Kind.SERVICE
        return plugins.create(
            kind,
            endpoint.adapter or _DEFAULT_ADAPTERS[endpoint.role],
            reactor=self._reactor,
            url=endpoint.url,
        )

    # Startup and shutdown.

    async def start(self) -> None:
        """Starts listening for gateways."""
        address = settings.parse_address(self._endpoint.sidecar)
        self._adapter.start(self)
        self._apply(self._kernel.start(_base.read_clock()))
        self.port = await _base.run_coroutine(
            self._links.start(host=address.host, port=address.port)
        )
        self._admin = _base.AdminPort(
            reactor=self._reactor,
            address=settings.parse_address(self._endpoint.admin),
            pages=web.AdminPages(
                registry=self.metrics.registry,
                is_ready=lambda: not self._kernel.leaving,
                describe=self._describe,
            ),
        )
        self._admin.start()
        if self._is_service:
            self._start_log()
        self.admin_port = self._admin.port
        self._loop.start(_TICK_INTERVAL_S)
        _LOG.info(
            "daemon: sidecar %s (%s) listens for gateways on %s:%d.",
            self.name,
            self.incarnation,
            address.host,
            self.port,
        )

    def _start_log(self) -> None:
        """Starts following the ownership stream and the list of VMs."""
        self._log = plugins.create(
            plugins.Kind.LOG,
            self.site.log.adapter,
            reactor=self._reactor,
            url=self.site.log.url,
        )
        self._follower = logs.LogFollower(
            reactor=self._reactor,
            client=self._log,
            stream=self._stream,
            on_page=self._apply_page,
        )
        self._follower.start()
        self._liveness = _base.make_liveness_source(self._reactor, self.site)
        self._liveness.start(self._update_vm_states)

    @property
    def _stream(self) -> str:
        return f"ownership.{self._endpoint.serves}"

    async def drain(self) -> bool:
        """Shuts down gracefully: completes the work in progress, then closes.

        Returns:
            False if work was cut off after the grace period.
        """
        self._apply(self._kernel.drain(_base.read_clock()))
        self._links.announce_load()
        is_drained = await _base.wait_until_idle(
            self._reactor,
            self._kernel.is_idle,
            grace_s=self.site.stop.grace_s,
        )
        await self.close()
        return is_drained

    async def close(self) -> None:
        """Delivers what has been sent to the gateways, and closes."""
        if self._loop.running:
            self._loop.stop()
        self._adapter.close()
        for component in (self._follower, self._log, self._liveness):
            if component is not None:
                component.close()
        await defer.maybeDeferred(self._admin.close)
        await _base.run_coroutine(self._links.close())

    # Called by the links.

    def _make_batch(
        self, ready: tuple[messages.Message, ...]
    ) -> messages.Batch:
        return messages.Batch(
            sender=self.name,
            incarnation=self.incarnation,
            load=self._kernel.describe_load(),
            messages=ready,
        )

    def _receive(self, batch: messages.Batch) -> None:
        self._apply(self._kernel.receive(batch, _base.read_clock()))

    # Called by the log follower and the liveness source.

    def _apply_page(self, page: logs.LogPage) -> None:
        self._apply(
            self._kernel.replay_page(
                page.entries,
                first=page.first_offset,
                after=page.next_offset,
                now=_base.read_clock(),
            )
        )

    def _update_vm_states(self, states: liveness.VmStates) -> None:
        vms = states.live | states.leaving
        self._apply(self._kernel.update_vms(vms, _base.read_clock()))

    def _append(self, record: ownership.Record) -> None:
        body = ownership.encode_record(record)
        deferred = self._log.append(self._stream, body)
        deferred.addCallbacks(
            lambda _: self._finish_append(True),
            lambda failure: self._fail_append(failure),
        )

    def _fail_append(self, failure) -> None:
        failure.trap(errors.LogUnavailableError)
        _LOG.info("log: stream %s: %s", self._stream, failure.value)
        self._finish_append(False)

    def _finish_append(self, succeeded: bool) -> None:
        now = _base.read_clock()
        self._apply(self._kernel.finish_append(succeeded=succeeded, now=now))

    # Called by the adapters.

    def finish_prefill(
        self, work_id: str, *, handle: str, computed_tokens: int, took_s: float
    ) -> None:
        """Handles a finished prefill whose KV cache can be exported."""
        self._apply(
            self._kernel.finish_prefill(
                work_id,
                handle=handle,
                computed_tokens=computed_tokens,
                took_s=took_s,
                now=_base.read_clock(),
            )
        )

    def add_tokens(self, work_id: str, texts: tuple[str, ...]) -> None:
        """Handles newly generated tokens."""
        now = _base.read_clock()
        self._apply(self._kernel.add_tokens(work_id, texts, now=now))

    def finish_decode(self, work_id: str, *, reason: str) -> None:
        """Handles a finished decode whose memory is free."""
        now = _base.read_clock()
        self._apply(self._kernel.finish_decode(work_id, reason=reason, now=now))

    def fail_work(self, work_id: str, *, code: str, started: bool) -> None:
        """Handles work that was refused or dropped; its memory is free."""
        now = _base.read_clock()
        self._apply(
            self._kernel.fail_work(work_id, code=code, started=started, now=now)
        )

    def confirm_cancel(self, work_id: str) -> None:
        """Handles the release of the memory of cancelled work."""
        now = _base.read_clock()
        self._apply(self._kernel.confirm_cancel(work_id, now=now))

    def reconcile_work(self, work_ids: tuple[str, ...]) -> None:
        """Handles the list of the work that the engine holds."""
        now = _base.read_clock()
        self._apply(self._kernel.reconcile_work(work_ids, now=now))

    def finish_call(
        self, call_id: str, *, status: int, content_type: str, body: bytes
    ) -> None:
        """Handles the service's answer to a call."""
        self._apply(
            self._kernel.finish_call(
                call_id,
                status=status,
                content_type=content_type,
                body=body,
                now=_base.read_clock(),
            )
        )

    def fail_call(self, call_id: str, *, sent: bool) -> None:
        """Handles a failed call; `sent` is False if no byte was sent."""
        now = _base.read_clock()
        self._apply(self._kernel.fail_call(call_id, sent=sent, now=now))

    # Ticks and effects.

    def _tick(self) -> None:
        self._apply(self._kernel.tick(_base.read_clock()))
        load = self._kernel.describe_load()
        self.metrics.free_slots.set(load.free_slots)
        self.metrics.held.set(len(self._kernel.list_held()))

    def _apply(self, effects: list[sidecar.Effect]) -> None:
        for effect in effects:
            match effect:
                case sidecar.Send():
                    self._links.send(effect.peer, effect.message)
                case sidecar.StartPrefill():
                    self._adapter.start_prefill(effect.work_id, effect.message)
                case sidecar.StartDecode():
                    self._adapter.start_decode(effect.work_id, effect.message)
                case sidecar.CancelWork():
                    self._adapter.cancel(effect.work_id)
                case sidecar.ListWork():
                    self._adapter.request_work_list()
                case sidecar.Append():
                    self._append(effect.record)
                case sidecar.RunCall():
                    self._adapter.run_call(effect.call_id, effect.call)

    def _describe(self) -> dict:
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "role": self._endpoint.role,
            "leaving": self._kernel.leaving,
            "held": self._kernel.list_held(),
        }
