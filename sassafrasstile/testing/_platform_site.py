"""A gateway on the platform and its stand-ins, in one process."""

from collections.abc import Sequence
import dataclasses
import random
import socket

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from sassafrasstile import dispatch
from sassafrasstile import router
from sassafrasstile import standins
from sassafrasstile import telemetry
from sassafrasstile.platform import _codec
from sassafrasstile.platform import _records
from sassafrasstile.platform import _store
from sassafrasstile.testing import _ports

HOST = "a.example"
_CONFIGURATION_TOPIC = "keyed.op"
_MEMBERSHIP_TOPIC = "keyed.servers"
_PEER_TOPIC = "keyed.gateways"
# Nothing listens there.
_DISCARD_PORT = 9
_FIRST_GATEWAY = "gateway-1"
# Long enough for the other side to react to a piece.
_PIECE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawAnswer:
    """The bytes that a caller has received.

    Attributes:
        data: All bytes received, including the status line and headers.
        is_reset: True if the connection was reset instead of closed cleanly.
    """

    data: bytes
    is_reset: bool = False

    @property
    def status(self) -> int:
        """The HTTP status, or zero if no response was received."""
        return int(self.data[9:12]) if self.data else 0

    @property
    def body(self) -> bytes:
        """The bytes after the headers."""
        return self.data.partition(b"\r\n\r\n")[2]

    @property
    def is_complete_stream(self) -> bool:
        """True if the chunked body includes its last chunk."""
        return self.data.endswith(b"0\r\n\r\n")


class Caller(protocol.Protocol):
    """A caller's connection that sends and receives raw bytes."""

    def __init__(self):
        self.data = b""
        self.is_reset = False
        self.is_open = True
        self._waiters: list[tuple[bytes, defer.Deferred]] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Appends received bytes and wakes the waiters."""
        self.data += data
        self._wake_waiters()

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        """Records the end of the connection and wakes the waiters."""
        self.is_open = False
        self.is_reset = "non-clean" in reason.getErrorMessage()
        self._wake_waiters()

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.transport.write(data)

    async def send_blindly(self, pieces: list[bytes]) -> None:
        """Sends pieces one after another and reads nothing meanwhile."""
        self.transport.pauseProducing()
        for piece in pieces:
            self.send(piece)
            await self._sleep(_PIECE_INTERVAL_S)
        if self.is_open:
            self.transport.resumeProducing()

    def disconnect(self) -> None:
        """Aborts the connection."""
        self.transport.abortConnection()

    async def read_until(self, marker: bytes) -> RawAnswer:
        """Reads until the data contains a marker or the connection ends."""
        while marker not in self.data and self.is_open:
            deferred: defer.Deferred = defer.Deferred()
            self._waiters.append((marker, deferred))
            await deferred
        return RawAnswer(data=self.data, is_reset=self.is_reset)

    async def read_all(self) -> RawAnswer:
        """Reads until the connection ends."""
        return await self.read_until(b"\0never\0")

    async def read_within(self, seconds: float) -> RawAnswer:
        """Reads until the connection ends, and disconnects after a time."""
        timer = self.transport.reactor.callLater(seconds, self.disconnect)
        answer = await self.read_all()
        if timer.active():
            timer.cancel()
        return answer

    def _sleep(self, seconds: float) -> defer.Deferred:
        deferred: defer.Deferred = defer.Deferred()
        self.transport.reactor.callLater(seconds, deferred.callback, None)
        return deferred

    def _wake_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for marker, deferred in waiters:
            if marker in self.data or not self.is_open:
                deferred.callback(None)
            else:
                self._waiters.append((marker, deferred))


async def connect(reactor, port: int, *, timeout_s: float = 30.0) -> Caller:
    """Opens a connection to a port of this machine."""
    target = endpoints.TCP4ClientEndpoint(
        reactor, "127.0.0.1", port, timeout=timeout_s
    )
    return await target.connect(protocol.Factory.forProtocol(Caller))


def make_request(
    path: str,
    *,
    method: str = "POST",
    request_id: str = "r1",
    deadline_ms: int = 5000,
    headers: tuple[str, ...] = (),
    body: str = "",
    close: bool = True,
) -> bytes:
    """Returns the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def make_platform_route(path: str, service: str, kind: str, **changes) -> dict:
    """Returns a route in the format of the platform's configuration."""
    return {
        "name": path,
        "hostname": HOST,
        "pathPrefix": path,
        "routeType": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 900,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **changes,
    }


def make_endpoint_document(*, port: int, **changes) -> dict:
    """Returns a membership document of an endpoint."""
    return {
        "service": "desk",
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
        **changes,
    }


def make_workspace_document(name: str, *keys: str, **fields) -> dict:
    """Returns a workspace in the format of the platform's configuration."""
    return {"name": name, "apiKeys": list(keys), **fields}


def make_configuration_document(
    *,
    version: int,
    routes: list[dict],
    workspaces: Sequence[dict] = (),
    **limits,
) -> dict:
    """Returns a configuration in the format of the platform."""
    engine = {
        "slots": 8,
        "kvCapacityTokens": 10000,
        "stride": 1,
        "kvTtlS": 0.5,
        "holdMs": 2000,
    }
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "healthPath": "/healthz"},
            {"name": "writer", "healthPath": "/healthz", "engine": engine},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 5000,
            **limits,
        },
    }
    if workspaces:
        document["tenants"] = list(workspaces)
    return document


class _FixedSettings(router.SettingsSource):
    """Settings that never change."""

    def __init__(self, *, settings: router.RouterSettings):
        self._settings = settings

    def read(self):
        return self._settings

    def has_changed(self):
        return False


class PlatformSite:
    """A store, scripted endpoints and one or more gateways on loopback.

    Args:
        reactor: The reactor.
        routes: The routes in the format of the platform's configuration.
        grace_s: Maximum duration of a graceful shutdown in seconds.
        listener: The socket on which callers wait for the gateway, or None.
        other_gateways: The number of other gateways, which never report. They
            are in another availability zone than the gateway.
        retry_slack: Retries that the budget allows beyond its share of the
            requests.
        **settings: Further settings of the gateways.

    Attributes:
        daemon: The first gateway.
        workspaces: The workspaces that `configure` writes, as documents.
    """

    def __init__(
        self,
        *,
        reactor,
        routes: list[dict],
        grace_s: float = 8.0,
        listener: socket.socket | None = None,
        other_gateways: int = 0,
        retry_slack: float = 20.0,
        **settings,
    ):
        self._settings = settings
        self._retry_slack = retry_slack
        self._other_gateways = other_gateways
        self._reactor = reactor
        self._listener = listener
        self._grace_s = grace_s
        self.routes = routes
        self.workspaces: list[dict] = []
        self.version = 1
        self.endpoints: dict[str, standins.PlatformEndpoint] = {}
        self.server = standins.PlatformStoreServer(reactor=reactor)
        self.store = self.server.store
        self.metrics = telemetry.RouterMetrics()
        self.daemon: router.RouterDaemon | None = None
        self._gateways: dict[str, router.RouterDaemon] = {}

    def start(self) -> None:
        """Starts the store and the gateway."""
        self.server.start()
        for number in range(self._other_gateways):
            name = f"other-{number}"
            address = [name, "127.0.0.1", _DISCARD_PORT, "b"]
            self.store.put_json(_PEER_TOPIC, name, address)
        self.daemon = self._start_gateway(
            _FIRST_GATEWAY, "a", metrics=self.metrics, listener=self._listener
        )

    def add_gateway(self, name: str, *, zone: str) -> router.RouterDaemon:
        """Starts another gateway, which exchanges reports with the others."""
        return self._start_gateway(
            name, zone, metrics=telemetry.RouterMetrics()
        )

    def get_gateway(self, name: str) -> router.RouterDaemon:
        """Returns a running gateway."""
        return self._gateways[name]

    async def stop_gateway(self, name: str) -> None:
        """Stops a gateway at once, with all that it knows."""
        await self._gateways.pop(name).close()

    async def drain_gateway(self, name: str) -> None:
        """Stops a gateway as SIGTERM does."""
        await self._gateways.pop(name).drain()

    def _start_gateway(
        self,
        name: str,
        zone: str,
        *,
        metrics: telemetry.RouterMetrics,
        listener: socket.socket | None = None,
    ) -> router.RouterDaemon:
        settings = self._make_settings(name, zone)
        daemon = router.RouterDaemon(
            reactor=self._reactor,
            settings=settings,
            settings_source=_FixedSettings(settings=settings),
            store=_store.PlatformStore(
                reactor=self._reactor,
                host=self.server.host,
                port=self.server.port,
                metrics=metrics,
            ),
            record_decoder=_records.PlatformRecordDecoder(),
            codec=_codec.PlatformCodec(),
            metrics=metrics,
            generator=random.Random(1),
            listener=listener,
        )
        daemon.start()
        self._gateways[name] = daemon
        return daemon

    async def close(self) -> None:
        """Stops everything."""
        for name in list(self._gateways):
            await self.stop_gateway(name)
        for endpoint in self.endpoints.values():
            await defer.maybeDeferred(endpoint.close)
        await defer.maybeDeferred(self.server.close)

    def _make_settings(self, name: str, zone: str) -> router.RouterSettings:
        return router.RouterSettings(
            name=name,
            zone=zone,
            host="127.0.0.1",
            port=0,
            ready_port=0,
            ready_path="/ready",
            metrics_port=0,
            peer_port=_ports.pick_udp_port(),
            store_host=self.server.host,
            store_port=self.server.port,
            grace_s=self._grace_s,
            propagation_limit_s=2.0,
            heartbeat_s=1.2,
            lease_s=3.0,
            dispatch=dispatch.DispatchSettings(retry_slack=self._retry_slack),
            **self._settings,
        )

    def add_endpoint(
        self,
        name: str,
        script=standins.make_answer,
        *,
        service: str = "desk",
        stage: str | None = None,
        zone: str = "a",
        version: str = "v1",
    ) -> standins.PlatformEndpoint:
        """Starts an endpoint and writes its membership document."""
        endpoint = standins.PlatformEndpoint(
            reactor=self._reactor, script=script
        )
        endpoint.start()
        self.endpoints[name] = endpoint
        self.announce(
            name, service=service, stage=stage, zone=zone, version=version
        )
        return endpoint

    def announce(self, name: str, **changes) -> None:
        """Writes an endpoint's membership document to the store."""
        endpoint = self.endpoints[name]
        document = make_endpoint_document(port=endpoint.port, **changes)
        self.store.put_json(_MEMBERSHIP_TOPIC, name, document)

    def withdraw(self, name: str) -> None:
        """Removes an endpoint's membership document from the store."""
        self.store.put(_MEMBERSHIP_TOPIC, name, b"")

    def configure(self, **limits) -> None:
        """Writes the configuration, with a higher version each time."""
        self.version += 1
        document = make_configuration_document(
            version=self.version,
            routes=self.routes,
            workspaces=self.workspaces,
            **limits,
        )
        self.store.put_json(_CONFIGURATION_TOPIC, "config", document)

    async def connect(self, gateway: str = _FIRST_GATEWAY) -> Caller:
        """Opens a caller's connection to a gateway."""
        return await connect(self._reactor, self._gateways[gateway].port)

    async def call(
        self, path: str, *, gateway: str = _FIRST_GATEWAY, **fields
    ) -> RawAnswer:
        """Sends a request on a new connection and reads until it closes."""
        caller = await self.connect(gateway)
        caller.send(make_request(path, **fields))
        return await caller.read_all()
