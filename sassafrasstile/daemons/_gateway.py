"""The daemon of a gateway."""

import logging
import random

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import frontend
from sassafrasstile import gateway
from sassafrasstile import liveness
from sassafrasstile import messages
from sassafrasstile import plugins
from sassafrasstile import settings
from sassafrasstile import telemetry
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile import wire
from sassafrasstile.daemons import _base
from sassafrasstile.daemons import _stop
from sassafrasstile.daemons import _timing

_LOG = logging.getLogger("sassafrasstile.daemon")
_TICK_INTERVAL_S = 0.05
# Callers get this long to receive the last of what was sent to them.
_LAST_WORDS_S = 1.0


class GatewayDaemon:
    """Runs a gateway kernel and executes its effects.

    Args:
        reactor: The reactor; it must run on an asyncio event loop.
        name: The gateway's name in the settings.
        site: The settings of the site.
        generator: The random number generator.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        site: settings.Site,
        generator: random.Random | None = None,
    ):
        self.name = name
        self.site = site
        self.incarnation = _base.make_incarnation()
        self.metrics = telemetry.GatewayMetrics()
        self.port = 0
        self.admin_port = 0
        self._reactor = reactor
        self._generator = generator or random.Random()
        self._process_settings = site.gateways[name]
        self._kernel = _base.KernelProxy(
            kernel=self._make_kernel(), violations=self.metrics.violations
        )
        self._directory = frontend.CallerDirectory(workspaces=site.workspaces)
        self._links: dict[str, wire.LinkClient] = {}
        self._exchanges: dict[str, frontend.Exchange] = {}
        self._timings = _timing.TimingTable(
            reactor=reactor, metrics=self.metrics
        )
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor
        self._callers: web.CallerSite | None = None
        self._http: interfaces.IListeningPort | None = None
        self._admin: _base.AdminPort | None = None
        self._liveness: liveness.LivenessSource | None = None
        self._ready = False
        self._stop: _stop.PlannedStop | None = None

    def _make_kernel(self) -> gateway.GatewayKernel:
        routing = self.site.routing
        linked = self._choose_linked_endpoints()
        endpoints = [
            gateway.Endpoint(
                name=name,
                role=item.role,
                serves=item.serves,
                zone=item.zone,
                vm=item.vm,
            )
            for name, item in self.site.endpoints.items()
            if name in linked
        ]
        policy = plugins.create(
            plugins.Kind.POLICY, routing.policy, generator=self._generator
        )
        return gateway.GatewayKernel(
            name=self.name,
            endpoints=endpoints,
            policy=policy,
            settings=routing,
        )

    def _choose_linked_endpoints(self) -> set[str]:
        """Returns the names of the endpoints that this gateway links to."""
        groups: dict[tuple[str, str], list[str]] = {}
        for name, item in self.site.endpoints.items():
            groups.setdefault((item.role, item.serves), []).append(name)
        index = sorted(self.site.gateways).index(self.name)
        linked: set[str] = set()
        for (role, _), names in groups.items():
            size = self.site.routing.subset
            if role == "service":
                size = len(names)
            linked.update(gateway.choose_subset(names, index=index, size=size))
        return linked

    # Startup and shutdown.

    def start(self) -> None:
        """Starts listening and connects to the sidecars."""
        self._directory.start()
        self._start_links()
        self._start_liveness()
        address = settings.parse_address(self._process_settings.http)
        self._callers = frontend.make_site(
            reactor=self._reactor,
            router=self,
            directory=self._directory,
            site=self.site,
        )
        self._http = self._reactor.listenTCP(
            address.port, self._callers, interface=address.host
        )
        self.port = self._http.getHost().port
        self._start_admin()
        self._loop.start(_TICK_INTERVAL_S)
        self._ready = True
        _LOG.info(
            "daemon: gateway %s (%s) listens for callers on %s:%d.",
            self.name,
            self.incarnation,
            address.host,
            self.port,
        )

    def _start_links(self) -> None:
        for item in self._kernel.list_endpoints():
            name = item.name
            endpoint = self.site.endpoints[name]
            address = settings.parse_address(endpoint.sidecar)
            link = wire.LinkClient(
                peer=name,
                host=address.host,
                port=address.port,
                make_batch=lambda ready, name=name: self._make_batch(
                    name, ready
                ),
                on_connect=lambda name=name: self._connect(name),
                on_batch=lambda batch, name=name: self._receive(name, batch),
                on_disconnect=lambda name=name: self._disconnect(name),
                generator=self._generator,
            )
            self._links[name] = link
            link.start()

    def _start_liveness(self) -> None:
        self._liveness = _base.make_liveness_source(self._reactor, self.site)
        self._liveness.start(self._update_vm_states)

    def _start_admin(self) -> None:
        pages = web.AdminPages(
            registry=self.metrics.registry,
            is_ready=self.is_ready,
            describe=self._describe,
        )
        self._admin = _base.AdminPort(
            reactor=self._reactor,
            address=settings.parse_address(self._process_settings.admin),
            pages=pages,
        )
        self._admin.start()
        self.admin_port = self._admin.port

    async def drain(self) -> bool:
        """Shuts down gracefully: answers the requests in flight, then closes.

        A request is answered once its caller has received the answer.

        Returns:
            False if requests were cut off after the grace period.
        """
        _LOG.info(
            "daemon: gateway %s is draining and no longer ready.", self.name
        )
        self._ready = False
        self._stop = _stop.PlannedStop(
            name=self.name,
            reactor=self._reactor,
            times=self.site.stop,
            routing=self.site.routing,
            estimate=self._timings.estimate,
        )
        self._callers.is_closing = True
        await _base.wait(self._reactor, self.site.stop.notice_s)
        await web.close_port(self._http)
        is_drained = await _base.wait_until_idle(
            self._reactor,
            lambda: not self._exchanges and not self._callers.count_owed(),
            grace_s=self.site.stop.grace_s,
        )
        if not is_drained:
            _LOG.warning(
                "daemon: gateway %s: the grace time is over. Unanswered: %d "
                "requests; answers or requests on their way: %d.",
                self.name,
                len(self._exchanges),
                self._callers.count_owed(),
            )
            self._end_unanswered()
        await self.close()
        return is_drained

    def _end_unanswered(self) -> None:
        """Tells each caller without an answer what has become of it."""
        self._apply(self._kernel.end_all(errors.Code.STOPPING))

    async def close(self) -> None:
        """Closes everything, and lets callers receive what was sent."""
        self._ready = False
        if self._loop.running:
            self._loop.stop()
        self._liveness.close()
        await web.close_port(self._http)
        self._callers.close_connections()
        await _base.wait_until_idle(
            self._reactor,
            lambda: not self._callers.count_owed(),
            grace_s=_LAST_WORDS_S,
        )
        await defer.maybeDeferred(self._admin.close)
        await defer.gatherResults(
            [_base.run_coroutine(link.close()) for link in self._links.values()]
        )

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send requests here."""
        return self._ready

    def is_connected(self) -> bool:
        """Returns whether the links to all sidecars are up."""
        return all(item.connected for item in self._kernel.list_endpoints())

    # Called by the front end.

    def submit(
        self,
        request: gateway.GenerationRequest,
        exchange: frontend.Exchange,
    ) -> None:
        """Submits a generation request."""
        if self._refuse_when_stopping(request, exchange):
            return
        former = self._exchanges.get(request.request_id)
        effects = self._kernel.submit(request, _base.read_clock())
        if former is not None:
            former.supersede()
        self._exchanges[request.request_id] = exchange
        self._timings.start(
            request.request_id, kind="generation", target=request.model
        )
        self._apply(effects)

    def submit_call(
        self,
        request: gateway.CallRequest | gateway.InquiryRequest,
        exchange: frontend.Exchange,
    ) -> None:
        """Submits a call to a plain service, or an inquiry about a call."""
        if self._refuse_when_stopping(request, exchange):
            return
        self._exchanges[request.request_id] = exchange
        self._timings.start(
            request.request_id, kind="call", target=request.service
        )
        self._apply(self._kernel.submit_call(request, _base.read_clock()))

    def cancel(self, request_id: str, exchange: frontend.Exchange) -> None:
        """Cancels a request whose caller has disconnected."""
        if self._exchanges.get(request_id) is not exchange:
            return
        del self._exchanges[request_id]
        self._timings.end(request_id, outcome="cancelled")
        self._apply(self._kernel.cancel(request_id, _base.read_clock()))

    def _refuse_when_stopping(
        self, request: _stop.Request, exchange: frontend.Exchange
    ) -> bool:
        if self._stop is None or self._stop.accepts(request):
            return False
        verdict = gateway.make_arrival_verdict(
            request,
            code=errors.Code.STOPPING,
            retry_after_s=self._stop.choose_retry_after_s(),
        )
        exchange.handle(
            gateway.Refuse(
                request_id=request.request_id,
                verdict=verdict,
                detail="This gateway is stopping.",
            )
        )
        return True

    # Called by the links.

    def _make_batch(
        self, peer: str, ready: tuple[messages.Message, ...]
    ) -> messages.Batch:
        return messages.Batch(
            sender=self.name,
            incarnation=self.incarnation,
            target=self._kernel.find_incarnation(peer),
            sent_at=_base.read_clock(),
            messages=ready,
        )

    def _connect(self, peer: str) -> None:
        self._apply(self._kernel.connect(peer, _base.read_clock()))

    def _disconnect(self, peer: str) -> None:
        self._apply(self._kernel.disconnect(peer, _base.read_clock()))

    def _receive(self, peer: str, batch: messages.Batch) -> None:
        now = _base.read_clock()
        self._apply(self._kernel.receive(peer, batch, now))

    # Ticks and effects.

    def _tick(self) -> None:
        self.metrics.in_flight.set(self._kernel.count_in_flight())
        self._apply(self._kernel.tick(_base.read_clock()))

    def _update_vm_states(self, states: liveness.VmStates) -> None:
        now = _base.read_clock()
        self._apply(self._kernel.update_leaving_vms(states.leaving, now))

    def _apply(self, effects: list[gateway.Effect]) -> None:
        for effect in effects:
            match effect:
                case gateway.Send():
                    self._links[effect.peer].send(effect.message)
                case gateway.Reconnect():
                    self._links[effect.peer].reconnect()
                case gateway.Deliver():
                    self._deliver(effect)
                case _:
                    self._finish(effect)

    def _deliver(self, effect: gateway.Deliver) -> None:
        self._timings.record_tokens(effect.request_id, len(effect.texts))
        self._exchanges[effect.request_id].handle(effect)

    def _finish(self, effect: gateway.Effect) -> None:
        outcome = _timing.OUTCOME_COMPLETE
        if isinstance(effect, gateway.Refuse):
            outcome = str(verdicts.name_verdict(effect.verdict))
        self._timings.end(effect.request_id, outcome=outcome)
        self._exchanges.pop(effect.request_id).handle(effect)

    def _describe(self) -> dict:
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "ready": self._ready,
            "in_flight": self._kernel.count_in_flight(),
            "endpoints": {
                item.name: {
                    "role": item.role,
                    "connected": item.connected,
                    "leaving": item.leaving,
                    "free_slots": item.load.free_slots,
                    "live": len(item.live_attempts),
                }
                for item in self._kernel.list_endpoints()
            },
        }
