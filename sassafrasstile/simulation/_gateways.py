"""Simulated gateways, which use the production dispatch code."""

import random

from twisted.internet import defer
from twisted.internet import task as tasks

from sassafrasstile import dispatch
from sassafrasstile import forwarding
from sassafrasstile import peers
from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import routes
from sassafrasstile import speeds
from sassafrasstile import telemetry
from sassafrasstile import web
from sassafrasstile.simulation import _base
from sassafrasstile.simulation import _dispatchers
from sassafrasstile.simulation import _engines
from sassafrasstile.simulation import _network
from sassafrasstile.simulation import _profiles

_MAX_SENDS = 3
# A prefill's timeout, as a share of the target for the first token.
_PREFILL_TIMEOUT_SHARE = 0.7
_PROBE_INTERVAL_S = 0.5
_ADMIT_INTERVAL_S = 0.25
_PEER_PORT = 7000
_MAX_HOLD_ATTEMPTS = 6
# The way to an engine and back.
_HOLD_CALL_S = 0.002


class Gateway:
    """A gateway that serves generations from simulated engines.

    Args:
        reactor: The reactor.
        name: The gateway's name.
        number: The gateway's index; decides its zone and address.
        profile: The site.
        pools: The engines.
        policy: `queue`, or the name of a registered policy.
        is_lagging: True if it asks engines to set memory aside, since it hears
            late of other gateways' reservations.
        tells_queue: False if it doesn't tell the others what waits.
        generator: The random generator.
    """

    def __init__(
        self,
        *,
        reactor: _network.VirtualReactor,
        name: str,
        number: int,
        profile: _profiles.SiteProfile,
        pools: _base.Pools,
        policy: str,
        is_lagging: bool,
        tells_queue: bool,
        generator: random.Random,
    ):
        self.name = name
        self.zone = profile.zones[number % len(profile.zones)]
        self.endpoints = dispatch.EndpointTable(silence_timeout_s=0.8)
        for record in pools.records:
            self.endpoints.update_record(record.endpoint_id, record)
        self._reactor = reactor
        self._profile = profile
        self._pools = pools
        self._service = _make_service(profile)
        self._is_lagging = is_lagging
        self._context = self._make_context(generator)
        self._context.active_configuration.apply_if_newer(
            _make_configuration(profile, has_ranks=tells_queue)
        )
        self._dispatcher = self._make_dispatcher(policy, generator)
        self.address = peers.PeerAddress(
            name=name,
            host=f"10.0.0.{number}",
            port=_PEER_PORT,
            zone=self.zone,
        )
        self.channel = peers.PeerChannel(
            reactor=reactor,
            address=self.address,
            incarnation="1",
            read_loads=self._read_loads,
            on_report=self._update_peer_loads,
            read_refusals=lambda: self._context.refusals.list_recent(
                reactor.seconds()
            ),
            on_refusals=lambda refusals: self._context.refusals.apply(
                refusals, reactor.seconds()
            ),
            read_queue=lambda is_complete: self._dispatcher.make_report(
                is_complete=is_complete
            ),
            on_queue=lambda peer, queue: self._dispatcher.apply_report(
                peer, queue
            ),
            read_speeds=lambda number: self._context.speed_sharing.list_newer(
                number, reactor.seconds()
            ),
            on_speeds=lambda reports: self._context.speed_sharing.apply(
                reports, reactor.seconds()
            ),
        )

    def _make_context(self, generator) -> forwarding.ForwardingContext:
        return forwarding.ForwardingContext(
            reactor=self._reactor,
            codec=None,
            active_configuration=routes.ActiveConfiguration(),
            endpoints=self.endpoints,
            placement=dispatch.Placement(
                endpoints=self.endpoints,
                zone=self.zone,
                generator=generator,
                name=self.name,
                is_timely=lambda zone: self.channel.is_timely(zone),
                is_lagging=lambda: (
                    self._is_lagging or self.channel.is_lagging()
                ),
            ),
            settings=dispatch.DispatchSettings(
                retry_slack=self._profile.retry_slack
            ),
            metrics=telemetry.RouterMetrics(),
            generator=generator,
            quarantine=quarantine.Quarantine(
                reactor=self._reactor, generator=generator
            ),
            permits=permits.SharedRateLimiter(
                reactor=self._reactor, name=self.name
            ),
            count_gateways=lambda: self._profile.gateways,
        )

    def _make_dispatcher(self, policy, generator) -> _dispatchers.Dispatcher:
        if policy == "queue":
            return _dispatchers.QueueDispatcher(
                context=self._context, service=self._service
            )
        return _dispatchers.PolicyDispatcher(
            endpoints=self.endpoints,
            policy=policy,
            service=self._service,
            generator=generator,
        )

    def start(self) -> None:
        """Starts the periodic admission of waiting requests and the probes."""
        self._tick()
        self._probe()

    def connect_peers(self, others: list["Gateway"]) -> None:
        """Starts the exchange of load reports with other gateways."""
        self.channel.start()
        self._context.announce = self.channel.announce_loads
        self._context.announce_room = self.channel.announce_room
        for other in others:
            self.channel.add_peer(other.address)

    def _tick(self) -> None:
        if isinstance(self._dispatcher, _dispatchers.QueueDispatcher):
            self._dispatcher.admit()
        self._reactor.callLater(_ADMIT_INTERVAL_S, self._tick)

    def _probe(self) -> None:
        """Checks whether unreachable engines respond again."""
        now = self._reactor.seconds()
        for endpoint in self.endpoints.list_to_probe(now):
            engine = self._pools.prefills.get(endpoint.name)
            if engine is not None and engine.is_unresponsive:
                endpoint.health.mark_unreachable(now)
            else:
                endpoint.health.record_activity(now)
        self._reactor.callLater(_PROBE_INTERVAL_S, self._probe)

    def _read_loads(self) -> dict[str, peers.EndpointLoad]:
        return self.endpoints.get_own_loads(self._reactor.seconds())

    def _update_peer_loads(self, peer, loads, is_complete) -> None:
        self.endpoints.update_peer_loads(
            peer, loads, self._reactor.seconds(), is_complete=is_complete
        )
        if isinstance(self._dispatcher, _dispatchers.QueueDispatcher):
            self._dispatcher.admit()

    # Requests.

    async def serve(self, attempt: _base.RequestAttempt) -> bool:
        """Serves a request.

        Returns:
            False if the request was refused.
        """
        task = self._make_task(attempt)
        served = await self._serve_task(task, attempt)
        if not served:
            self._context.refusals.record(
                attempt.prompt_id,
                arrived_at=task.arrived_at,
                deadline=attempt.deadline,
                now=self._reactor.seconds(),
            )
        return served

    async def _serve_task(
        self, task: forwarding.RequestTask, attempt: _base.RequestAttempt
    ) -> bool:
        self._context.get_budget(_base.SERVICE).record_request(
            attempt.arrived_at
        )
        handle: forwarding.KvHandle | None = None
        while self._may_try_again(task):
            grant = await self._dispatcher.acquire(task, handle)
            if grant is None:
                return False
            task.granted_at = self._reactor.seconds()
            try:
                hold = await self._take_hold(task, grant)
                if grant.prefill is not None:
                    handle = await self._prefill(task, grant, hold)
                served, handle = await self._run(
                    task, grant, handle, hold, attempt
                )
            except _engines.NoCapacityError:
                # The engine was only asked, which no budget limits.
                continue
            finally:
                self._dispatcher.release(grant)
            if served:
                return True
            now = self._reactor.seconds()
            if not self._context.get_budget(_base.SERVICE).spend(now):
                return False
        return False

    @staticmethod
    def _may_try_again(task: forwarding.RequestTask) -> bool:
        return (
            task.sends < _MAX_SENDS
            and task.prefill_attempts < _MAX_SENDS
            and task.hold_attempts < _MAX_HOLD_ATTEMPTS
        )

    async def _take_hold(
        self, task: forwarding.RequestTask, grant: dispatch.Grant
    ) -> _engines.Hold | None:
        """Asks the decode engine to set memory aside, if it has to.

        Raises:
            _engines.NoCapacityError: The engine has no capacity.
        """
        if not self._dispatcher.needs_hold(grant):
            return None
        task.hold_attempts += 1
        await tasks.deferLater(self._reactor, _HOLD_CALL_S)
        engine = self._pools.decodes[grant.decode.name]
        try:
            return engine.take_hold(
                grant.size.prompt_tokens,
                min(self._profile.engine.hold_s, self._profile.target_s),
            )
        except _engines.NoCapacityError:
            grant.decode.record_refusal(self._reactor.seconds())
            raise

    def _make_task(
        self, attempt: _base.RequestAttempt
    ) -> forwarding.RequestTask:
        output_tokens = self._context.lengths.estimate(
            _base.SERVICE, declared_tokens=attempt.declared_tokens
        )
        return forwarding.RequestTask(
            request=web.CallerRequest(
                method=b"POST",
                target=b"/",
                headers=(),
                body=b"",
                received_at=attempt.arrived_at,
            ),
            details=forwarding.RequestDetails(
                request_id=attempt.request_id,
                host="",
                timeout_s=None,
                prompt_tokens=attempt.prompt_tokens,
                output_tokens=attempt.declared_tokens,
                last_event_id=None,
                prompt_parts=(attempt.prompt_id,),
            ),
            route=_make_route(
                self._profile, rank=attempt.rank, target_s=attempt.target_s
            ),
            service=self._service,
            size=dispatch.WorkSize(
                prompt_tokens=attempt.prompt_tokens,
                output_tokens=output_tokens,
                target_s=attempt.target_s,
                max_gap_s=self._profile.gap_s,
            ),
            exchange=None,
            deadline=attempt.deadline,
            caller_deadline=attempt.deadline,
            arrived_at=self._context.refusals.find_first_arrival(
                attempt.prompt_id,
                arrived_at=attempt.arrived_at,
                deadline=attempt.deadline,
            ),
        )

    async def _prefill(
        self,
        task: forwarding.RequestTask,
        grant: dispatch.Grant,
        hold: _engines.Hold | None,
    ) -> forwarding.KvHandle | None:
        """Prefills the prompt at the granted prefill engine, if it has one.

        Returns:
            The handle, or None without a remote prefill or after a timeout.
        """
        if not grant.has_remote_prefill:
            return None
        task.prefill_attempts += 1
        engine = grant.prefill
        work = engine.total_prefill_tokens
        task.prefill_work = work
        prefilling = self._pools.prefills[engine.name].prefill(
            task.size.prompt_tokens
        )
        timeout_s = _PREFILL_TIMEOUT_SHARE * self._profile.target_s
        prefilling.addTimeout(timeout_s, self._reactor)
        now = self._reactor.seconds()
        engine.health.add_pending(task.request_id, now)
        try:
            prefilled = await prefilling
        except defer.TimeoutError:
            engine.health.mark_unreachable(self._reactor.seconds())
            return None
        finally:
            engine.health.remove_pending(task.request_id)
            self._dispatcher.release_prefill(grant)
        ended_at = self._reactor.seconds()
        engine.health.record_activity(ended_at)
        self._observe(engine, speeds.Kind.PREFILL, work, ended_at - now)
        if hold is None:
            self._dispatcher.confirm(task, grant)
        return forwarding.KvHandle(
            endpoint=engine, token=prefilled, expires_at=prefilled.expires_at
        )

    async def _run(
        self,
        task: forwarding.RequestTask,
        grant: dispatch.Grant,
        handle: forwarding.KvHandle | None,
        hold: _engines.Hold | None,
        attempt: _base.RequestAttempt,
    ) -> tuple[bool, forwarding.KvHandle | None]:
        """Generates the output at the granted decode engine.

        Returns:
            Whether the output was generated, and otherwise the handle if it
            can still be used.
        """
        now = self._reactor.seconds()
        if handle is None and not self._dispatcher.can_prefill_locally(grant):
            return False, None
        task.sends += 1
        engine = self._pools.decodes[grant.decode.name]
        meter = speeds.StepMeter(
            tokens_per_event=self._profile.engine.tokens_per_event
        )
        sequence = _engines.Sequence(
            prompt_tokens=attempt.prompt_tokens,
            output_tokens=attempt.output_tokens,
            on_event=lambda: self._record_event(attempt, grant, meter),
        )
        try:
            engine.run(sequence, handle and handle.token, hold)
        except _engines.NoCapacityError:
            grant.decode.record_refusal(now)
            return False, handle
        except _engines.HandleExpiredError:
            return False, None
        grant.decode.record_acceptance()
        try:
            await sequence.done
            self._observe_start(task, grant, attempt, began_at=now)
        finally:
            engine.cancel(sequence)
        self._context.lengths.record(
            _base.SERVICE,
            tokens=attempt.output_tokens,
            declared_tokens=attempt.declared_tokens,
        )
        return True, None

    def _observe_start(
        self,
        task: forwarding.RequestTask,
        grant: dispatch.Grant,
        attempt: _base.RequestAttempt,
        *,
        began_at: float,
    ) -> None:
        """Records the time to the first event of a first send."""
        if task.sends > 1:
            return
        kind, work = speeds.Kind.LOCAL_PREFILL, attempt.prompt_tokens
        if grant.has_remote_prefill:
            kind, work = speeds.Kind.ADMISSION, task.prefill_work
            began_at = task.granted_at
        self._observe(
            grant.decode, kind, work, attempt.first_event_at - began_at
        )

    def _observe(
        self,
        endpoint: dispatch.Endpoint,
        kind: speeds.Kind,
        work: float,
        seconds: float,
    ) -> None:
        self._context.speed_sharing.record(
            endpoint,
            speeds.Observation(kind=kind, work=work, seconds=seconds),
            self._reactor.seconds(),
        )

    def _record_event(
        self,
        attempt: _base.RequestAttempt,
        grant: dispatch.Grant,
        meter: speeds.StepMeter,
    ) -> None:
        now = self._reactor.seconds()
        attempt.record_event(now)
        observation = meter.record_event(
            now, in_flight=grant.decode.total_in_flight
        )
        if observation is not None:
            self._context.speed_sharing.record(grant.decode, observation, now)
        per_event = self._profile.engine.tokens_per_event
        grant.update_output_tokens(attempt.events * per_event)


def _make_service(profile: _profiles.SiteProfile) -> routes.Service:
    engine = profile.engine
    return routes.Service(
        name=_base.SERVICE,
        engine=routes.EngineProfile(
            slots=engine.slots,
            capacity_tokens=engine.memory_tokens,
            tokens_per_event=engine.tokens_per_event,
            handle_ttl_s=engine.handle_ttl_s,
            hold_s=engine.hold_s,
        ),
    )


def _make_configuration(
    profile: _profiles.SiteProfile, *, has_ranks: bool
) -> routes.Configuration:
    """Returns a configuration with a route for each rank."""
    ranks = profile.ranks if has_ranks else ()
    return routes.Configuration(
        version=1,
        routes=tuple(
            _make_route(profile, rank=item.rank, target_s=item.target_s)
            for item in ranks
        ),
        services={},
    )


def _make_route(
    profile: _profiles.SiteProfile, *, rank: int, target_s: float
) -> routes.Route:
    return routes.Route(
        name="generation",
        host="",
        prefix="/",
        kind=routes.RouteKind.GENERATION,
        services=(routes.WeightedService(service=_base.SERVICE),),
        timeout_s=profile.deadline_s,
        target_s=target_s,
        priority=rank,
        target_gap_s=profile.gap_s,
    )
