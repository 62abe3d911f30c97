"""Connects configuration, membership, routing and listening ports."""

import collections
from collections.abc import Collection, Mapping
import functools
import logging
import random
import secrets
import socket
from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import forwarding
from sassafrasstile import limits
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import roles
from sassafrasstile import routes
from sassafrasstile import speeds
from sassafrasstile import stores
from sassafrasstile import streams
from sassafrasstile import telemetry
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.router import _caller_port
from sassafrasstile.router import _confirmation
from sassafrasstile.router import _record_decoder
from sassafrasstile.router import _restore_watch
from sassafrasstile.router import _settings
from sassafrasstile.router import _start_gate
from sassafrasstile.router import _stop
from sassafrasstile.router import _store_records
from sassafrasstile.router import _topics

_LOG = logging.getLogger("sassafrasstile.router")
_TICK_INTERVAL_S = 0.25
# Queued generations use capacity freed by a peer after a random delay of up to
# this time for each live peer.
_ADMISSION_JITTER_PER_PEER_S = 0.01
_MAX_STALL_WARNINGS_PER_S = 1.0
# Endpoints' speeds are shown at these percentiles.
_SLOWNESS_PERCENTILES = (10, 50, 90)
# Upper bound of this delay, however many peers are live.
_MAX_ADMISSION_JITTER_S = 0.25


class RouterDaemon:
    """A gateway that calls endpoints directly, without sidecars.

    Args:
        reactor: The reactor.
        settings: The settings.
        settings_source: Reads the settings again for a reload.
        store: The platform's store.
        record_decoder: Decodes the store's records and names its topics.
        codec: The endpoints' protocol.
        metrics: Counters and histograms.
        generator: The random number generator.
        listener: A socket on which callers wait already. They are accepted once
            this gateway can serve them. Without it the port is opened at the
            start.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        settings: _settings.RouterSettings,
        settings_source: _settings.SettingsSource,
        store: stores.Store,
        record_decoder: _record_decoder.RecordDecoder,
        codec: forwarding.EndpointCodec,
        metrics: telemetry.RouterMetrics,
        generator: random.Random | None = None,
        listener: socket.socket | None = None,
    ):
        self.settings = settings
        self.incarnation = secrets.token_hex(6)
        self.is_draining = False
        self._reactor = reactor
        self._settings_source = settings_source
        self._epochs = stores.EpochMonitor(reactor=reactor)
        self._epochs.subscribe(lambda _epoch: metrics.store_epochs.inc())
        self._store = stores.EpochCheckedStore(store=store, epochs=self._epochs)
        self._metrics = metrics
        self._generator = generator or random.Random()
        self._active_configuration = routes.ActiveConfiguration()
        self._endpoints = dispatch.EndpointTable(
            silence_timeout_s=settings.dispatch.silence_timeout_s
        )
        self._roster = membership.Roster(
            on_change=self._update_endpoint,
            on_missing=self._endpoints.set_missing,
            heartbeat_s=settings.heartbeat_s,
        )
        self._versions = streams.VersionHistory()
        self._origins = streams.OriginDirectory(
            reactor=reactor,
            history=self._versions,
            read_position=lambda: self._read_list_position(
                record_decoder.membership_topic
            ),
        )
        self._quarantine = quarantine.Quarantine(
            reactor=reactor, generator=self._generator
        )
        self._permits = permits.SharedRateLimiter(
            reactor=reactor, name=settings.name
        )
        self._quotas = permits.QuotaKeeper(
            reactor=reactor,
            exchange=self._permits,
            read_quota=self._read_quota,
            bounds=settings.quota_bounds,
            count_gateways=self._count_gateways,
        )
        self._meter = web.BufferMeter(
            max_bytes=settings.max_buffered_bytes,
            on_drop=metrics.buffers_dropped.inc,
        )
        metrics.buffered_bytes.set_function(lambda: self._meter.used_bytes)
        self._belief = workspaces.KeyBelief(
            read_version=self._read_configuration_version,
            may_rely_on_store=self._may_rely_on_store,
            on_confirmed=lambda confirmation: metrics.key_confirmations.labels(
                confirmation.source
            ).inc(),
        )
        self._context = self._make_context(codec)
        self._router = forwarding.Router(context=self._context)
        self._prober = forwarding.Prober(context=self._context)
        self._stall_warnings = limits.TokenBucket(
            rate_per_s=_MAX_STALL_WARNINGS_PER_S
        )
        self._ingress = web.IngressFactory(
            reactor=reactor,
            handler=self._router.handle,
            caller_stall_s=settings.caller_stall_s,
            on_stall=self._record_stall,
            meter=self._meter,
        )
        self._topic_sharing = _topics.TopicSharing(
            reactor=reactor, name=settings.name
        )
        self._belief_exchange = self._make_belief_exchange(record_decoder)
        self._records = self._make_records(record_decoder)
        self._followers = self._records.followers
        confirmation = _confirmation.TopicConfirmation(
            reactor=reactor,
            store=self._store,
            topic=record_decoder.membership_topic,
            follower=self._followers[record_decoder.membership_topic],
        )
        self._context.confirm_endpoints = confirmation.confirm
        address = peers.PeerAddress(
            name=settings.name,
            host=settings.host,
            port=settings.peer_port,
            zone=settings.zone,
        )
        self._start_gate = _start_gate.StartGate(
            reactor=reactor,
            epochs=self._epochs,
            read_configuration_version=self._read_configuration_version,
            count_gateways=self._count_gateways,
        )
        self._restore_watch = _restore_watch.RestoreWatch(
            reactor=reactor,
            epochs=self._epochs,
            list_peers=self._list_known_peers,
            count_lost=lambda: self._channel.count_lost(),
        )
        self._channel = self._make_channel(address)
        self._origins.transport = self._channel
        self._quarantine.transport = self._channel
        self._permits.transport = self._channel
        self._belief_exchange.transport = self._channel
        self._topic_sharing.connect(
            channel=self._channel, followers=self._followers
        )
        self._directory = self._make_directory(record_decoder, address)
        self._context.announce = self._channel.announce_loads
        self._context.announce_room = self._channel.announce_room
        self._context.count_gateways = self._count_gateways
        self._roles = self._make_roles(record_decoder)
        self._caller_port = _caller_port.CallerPort(
            reactor=reactor,
            host=settings.host,
            port=settings.port,
            factory=self._ingress,
            listener=listener,
        )
        self._admin_ports: list[interfaces.IListeningPort] = []
        self._admission_call: interfaces.IDelayedCall | None = None
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor
        metrics.prompts_refused.set_function(self._quarantine.count_active)
        metrics.endpoints_leaving.set_function(self._endpoints.count_leaving)
        for kind in speeds.Kind:
            for percentile in _SLOWNESS_PERCENTILES:
                metrics.endpoint_slowness.labels(
                    kind.value, percentile
                ).set_function(
                    functools.partial(self._measure_slowness, kind, percentile)
                )
        metrics.endpoints_with_rate.set_function(self._permits.count_named)
        metrics.key_belief_age.set_function(self._belief_exchange.measure_age_s)
        metrics.endpoints_backing_off.set_function(
            lambda: self._endpoints.count_backing_off(self._now())
        )

    def _measure_slowness(self, kind: speeds.Kind, percentile: int) -> float:
        values = self._endpoints.list_slowness(kind, self._now())
        return telemetry.compute_percentile(values, percentile)

    def _make_context(self, codec) -> forwarding.ForwardingContext:
        placement = dispatch.Placement(
            endpoints=self._endpoints,
            zone=self.settings.zone,
            generator=self._generator,
            name=self.settings.name,
            is_timely=lambda zone: self._channel.is_timely(zone),
            is_lagging=lambda: self._channel.is_lagging(),
        )
        return forwarding.ForwardingContext(
            reactor=self._reactor,
            codec=codec,
            active_configuration=self._active_configuration,
            endpoints=self._endpoints,
            placement=placement,
            settings=self.settings.dispatch,
            metrics=self._metrics,
            generator=self._generator,
            quarantine=self._quarantine,
            permits=self._permits,
            quotas=self._quotas,
            origins=self._origins,
            versions=self._versions,
            meter=self._meter,
            read_bounds=self.settings.read_bounds,
            access=workspaces.AccessChecker(
                read_directory=lambda: self._active_configuration.directory,
                measure_age_s=lambda: self._belief_exchange.measure_age_s(),
                max_age_s=self.settings.max_key_age_s,
                fresh_age_s=self.settings.propagation_limit_s,
            ),
        )

    def _make_records(self, record_decoder) -> _store_records.StoreRecords:
        return _store_records.StoreRecords(
            reactor=self._reactor,
            store=self._store,
            epochs=self._epochs,
            record_decoder=record_decoder,
            topic_sharing=self._topic_sharing,
            max_lag_s=self.settings.propagation_limit_s,
            generator=self._generator,
            active_configuration=self._active_configuration,
            roster=self._roster,
            versions=self._versions,
            on_configuration=self._apply_configuration,
            on_progress=self._accept_callers_if_ready,
            belief_exchange=self._belief_exchange,
        )

    def _make_belief_exchange(
        self, record_decoder
    ) -> workspaces.BeliefExchange:
        topic = record_decoder.configuration_topic
        return workspaces.BeliefExchange(
            reactor=self._reactor,
            name=self.settings.name,
            belief=self._belief,
            max_age_s=self.settings.max_key_age_s,
            has_keys=lambda: self._active_configuration.directory is not None,
            is_watcher=self._topic_sharing.is_watcher,
            read_store=lambda: self._followers[topic].mark_stale(),
            generator=self._generator,
            on_lapse=self._router.review_access,
        )

    def _record_stall(self) -> None:
        self._metrics.callers_stalled.inc()
        if self._stall_warnings.take(1, self._now()):
            _LOG.warning("caller: disconnected, since it read nothing.")

    def _apply_configuration(self, configuration: routes.Configuration) -> None:
        self._ingress.limits = configuration.limits
        self._router.review_access()

    def _make_channel(self, address) -> peers.PeerChannel:
        return peers.PeerChannel(
            reactor=self._reactor,
            address=address,
            incarnation=self.incarnation,
            read_loads=self._read_loads,
            on_report=self._update_peer_loads,
            read_topics=self._topic_sharing.read_ages,
            on_topics=self._topic_sharing.update,
            on_page=self._topic_sharing.apply_page,
            read_refusals=lambda: self._context.refusals.list_recent(
                self._now()
            ),
            on_refusals=lambda refusals: self._context.refusals.apply(
                refusals, self._now()
            ),
            on_message=self._receive_message,
            on_start=self._tell_starting_peer,
            on_leaving=self._origins.record_leaving,
            on_silence=self._origins.record_silence,
            read_speeds=lambda number: self._context.speed_sharing.list_newer(
                number, self._now()
            ),
            on_speeds=lambda reports: self._context.speed_sharing.apply(
                reports, self._now()
            ),
            read_configuration_version=self._read_configuration_version,
            on_configuration_version=self._record_peer_version,
            read_queue=lambda is_complete: self._router.make_queue_report(
                is_complete=is_complete
            ),
            on_queue=lambda peer, queue: self._router.apply_queue_report(
                peer, queue
            ),
        )

    def _record_peer_version(self, name: str, version: int | None) -> None:
        self._restore_watch.record_peer(name)
        self._start_gate.record_peer_configuration_version(version)
        self._belief.record_peer_version(version)

    def _tell_starting_peer(self, name: str) -> None:
        self._quarantine.tell(name)
        self._permits.tell(name)
        self._origins.record_start(name)

    def _receive_message(self, sender: str, payload: bytes) -> None:
        if quarantine.is_message(payload):
            self._quarantine.receive(sender, payload)
        elif permits.is_message(payload):
            self._permits.receive(sender, payload)
        elif workspaces.is_message(payload):
            self._belief_exchange.receive(sender, payload)
        else:
            self._origins.receive(sender, payload)

    def _make_directory(self, record_decoder, address) -> peers.PeerDirectory:
        directory = peers.PeerDirectory(
            reactor=self._reactor,
            store=self._store,
            topic=record_decoder.peer_topic,
            address=address,
            channel=self._channel,
            generator=self._generator,
        )
        self._epochs.subscribe(directory.start_epoch)
        return directory

    def _make_roles(self, record_decoder) -> roles.RoleManager:
        lease = roles.LeaderLease(
            store=self._store,
            topic=record_decoder.lease_topic,
            name=self.settings.name,
        )
        self._epochs.subscribe(lease.start_epoch)
        return roles.RoleManager(
            reactor=self._reactor,
            name=self.settings.name,
            lease=lease,
            lease_s=self.settings.lease_s,
            endpoints=self._endpoints,
            active_configuration=self._active_configuration,
            prefill_share=self.settings.dispatch.prefill_share,
            list_peers=self._channel.list_live,
            send_order=self._send_order,
            generator=self._generator,
        )

    def _send_order(
        self, order: roles.RoleOrder, number: int
    ) -> defer.Deferred:
        return forwarding.send_order(
            self._context,
            endpoint=order.engine,
            role=order.role,
            holder=self.settings.name,
            fencing_token=number,
        )

    def _list_components(self) -> list:
        """Returns the components in start order; they close in reverse."""
        return [
            *self._followers.values(),
            self._channel,
            self._origins,
            self._quarantine,
            self._permits,
            self._quotas,
            self._belief_exchange,
            self._directory,
            self._prober,
            self._roles,
        ]

    def _now(self) -> float:
        return self._reactor.seconds()

    # Start and stop.

    def start(self) -> None:
        """Opens the ports and starts to follow the store."""
        settings = self.settings
        self._caller_port.start()
        admin = web.IngressFactory(
            reactor=self._reactor, handler=self._make_admin().handle
        )
        self._admin_ports.append(self._listen(settings.ready_port, admin))
        if settings.metrics_port:
            self._admin_ports.append(self._listen(settings.metrics_port, admin))
        for component in self._list_components():
            component.start()
        self._loop.start(_TICK_INTERVAL_S, now=False)
        _LOG.info(
            "router: gateway %s starts.",
            settings.name,
            extra={
                "incarnation": self.incarnation,
                "address": f"{settings.host}:{settings.port}",
                "zone": settings.zone,
            },
        )

    def _accept_callers_if_ready(self) -> None:
        if self.is_ready():
            self._caller_port.accept()

    def _listen(self, port: int, factory) -> interfaces.IListeningPort:
        factory.noisy = False
        return self._reactor.listenTCP(
            port, factory, interface=self.settings.host, backlog=511
        )

    def _make_admin(self) -> web.AdminPages:
        return web.AdminPages(
            registry=self._metrics.registry,
            is_ready=self.is_ready,
            describe=self._describe,
            ready_path=self.settings.ready_path,
        )

    @property
    def port(self) -> int:
        """The port that accepts callers."""
        return self._caller_port.port

    def is_ready(self) -> bool:
        """Returns whether this gateway should receive callers."""
        return (
            not self.is_draining
            and self._active_configuration.current is not None
            and self._roster.is_loaded
            and self._start_gate.is_open()
        )

    def _read_configuration_version(self) -> int | None:
        return self._active_configuration.version

    async def drain(self, *, signalled_at: float | None = None) -> None:
        """Shuts down gracefully: finishes requests in flight, then closes.

        Args:
            signalled_at: When the stop was asked for at the earliest, in
                seconds, if that was before now.
        """
        began_at = self._now() if signalled_at is None else signalled_at
        self.is_draining = True
        _LOG.info(
            "router: gateway %s drains.",
            self.settings.name,
            extra={"in_flight": self._router.in_flight},
        )
        self._channel.announce_leaving()
        stop = _stop.GracefulStop(
            reactor=self._reactor,
            name=self.settings.name,
            ingress=self._ingress,
            caller_port=self._caller_port,
            router=self._router,
            schedule=self._context.shutdown,
            hand_on=self._origins.hand_on,
        )
        await stop.run(began_at=began_at, grace_s=self.settings.grace_s)
        await self.close()

    async def close(self) -> None:
        """Closes everything immediately, without draining."""
        if self._loop.running:
            self._loop.stop()
        if self._admission_call is not None and self._admission_call.active():
            self._admission_call.cancel()
        for component in reversed(self._list_components()):
            component.close()
        await self._caller_port.close()
        for port in self._admin_ports:
            await defer.maybeDeferred(port.stopListening)
        self._context.close()
        self._store.close()

    def reload(self) -> None:
        """Reads the settings again; keeps the current ones on an error."""
        try:
            settings = self._settings_source.read()
        except errors.Error as reason:
            _LOG.error("router: settings not reloaded: %s", reason)
            return
        changed = settings != self.settings
        self.settings = settings
        self._context.settings = settings.dispatch
        _LOG.info("router: settings reloaded.", extra={"changed": changed})

    # Changes of endpoints and reports from peers.

    def _update_endpoint(
        self, endpoint_id: str, record: membership.EndpointRecord | None
    ) -> None:
        self._versions.update(endpoint_id, record, now=self._now())
        former = self._endpoints.update_record(endpoint_id, record)
        if former is not None:
            self._context.drop_endpoint(former)

    def _update_peer_loads(
        self,
        peer: str,
        loads: Mapping[str, peers.EndpointLoad],
        is_complete: bool,
    ) -> None:
        self._endpoints.update_peer_loads(
            peer, loads, self._now(), is_complete=is_complete
        )
        if self._admission_call is None or not self._admission_call.active():
            # All gateways learn of freed capacity at the same time. The random
            # delay lets the first one that reserves it announce that before
            # the others admit requests.
            max_delay_s = min(
                _MAX_ADMISSION_JITTER_S,
                _ADMISSION_JITTER_PER_PEER_S * self._count_peers(),
            )
            self._admission_call = self._reactor.callLater(
                max_delay_s * self._generator.random(),
                self._router.admit_waiting,
            )

    def _may_rely_on_store(self) -> bool:
        """Returns whether a call to the store may confirm keys."""
        return (
            self._restore_watch.may_rely_on_store()
            and not self._records.has_rejected_configuration()
        )

    def _list_known_peers(self) -> Collection[str] | None:
        """Returns the peers, also silent ones; None before they are known."""
        if not self._directory.is_loaded:
            return None
        return self._channel.list_zones().keys()

    def _read_list_position(self, topic: str) -> streams.ListPosition | None:
        end = self._followers[topic].end
        if end is None:
            return None
        return streams.ListPosition(epoch=end.epoch, offset=end.next_offset)

    def _count_peers(self) -> int:
        return len(self._channel.list_live())

    def _count_gateways(self) -> int | None:
        """Returns the number of gateways, or None before it is known."""
        if not self._directory.is_loaded:
            return None
        return self._channel.count_gateways()

    def _read_loads(self) -> Mapping[str, peers.EndpointLoad]:
        now = self._now()
        if self._endpoints.detect_suspension(now):
            _LOG.warning("router: this process was suspended.")
            self._topic_sharing.mark_stale()
        return self._endpoints.get_own_loads(now)

    def _tick(self) -> None:
        if self._settings_source.has_changed():
            self.reload()
        self._roster.tick(self._now())
        self._accept_callers_if_ready()
        self._router.admit_waiting()
        if self._context.shutdown.has_begun:
            self._router.refuse_denied()
        self._record_leases()

    def _record_leases(self) -> None:
        leased: collections.Counter[str] = collections.Counter()
        for workspace, amount in self._quotas.list_leased().items():
            leased[self._metrics.workspaces.choose(workspace)] += amount
        for label, amount in leased.items():
            self._metrics.quota_leased.labels(label).set(amount)

    def _read_quota(self, workspace: str) -> permits.StatedQuota | None:
        """Returns what the configuration in force says about a quota."""
        found = self._active_configuration.find_workspace(workspace)
        if found is None:
            return None
        return permits.StatedQuota(
            version=self._active_configuration.version, quota=found.quota
        )

    def _describe(self) -> dict:
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "version": self._active_configuration.version,
            "endpoints": len(self._roster),
            "in_flight": self._router.in_flight,
            "draining": self.is_draining,
        }
