"""Restores the store from copies, and checks the configuration in force."""

from collections.abc import Callable
import dataclasses
import random

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways

# What the operator and the endpoints wrote is written again; the rest is lost.
_REWRITTEN_TOPICS = ("keyed.op", "keyed.servers")
_CONFIGURATION_TOPIC = "keyed.op"
_MEMBERSHIP_TOPIC = "keyed.servers"
# The only endpoint of this service leaves before the last restore.
SPARE_SERVICE = "spare"
SPARE_PATH = "/spare/"
_SPARE_NAME = "spare0"
_PROBE_INTERVAL_S = 0.2
_PROBE_TIMEOUT_S = 2.0
# By then each gateway that isn't disturbed has read a new version.
_APPLY_WAIT_S = 2.5
_UNKNOWN_ROUTE = 404


def make_version_path(version: int) -> str:
    """Returns the path of the route that a version adds."""
    return f"/v{version}/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Seen:
    """The highest version that a gateway's process has shown.

    Attributes:
        pid: The process.
        version: The version.
    """

    pid: int
    version: int


class StoreRestores:
    """Restores the store from copies while versions are published.

    Each version adds a route, so an answer to it shows whether the version is
    in force at a gateway. In one process it stays in force. An endpoint that
    leaves gets no requests after a restore of a copy that names it.

    Args:
        reactor: The reactor.
        seed: The seed of the random numbers.
        store: The store.
        gateways: The gateways.
        publish: Publishes a configuration, given its version and the paths of
            its additional routes.
        on_rewrite: Called after what a restore had lost was written again,
            with the time of the first loss.
    """

    def __init__(
        self,
        *,
        reactor,
        seed: int,
        store,
        gateways: list[_gateways.GatewayProcess],
        publish: Callable[..., None],
        on_rewrite: Callable[[float], None] = lambda since: None,
    ):
        self._reactor = reactor
        self._store = store
        self._gateways = gateways
        self._publish = publish
        self._on_rewrite = on_rewrite
        # Of its own, so that the other faults of a seed stay the same.
        self._generator = random.Random(f"restores {seed}")
        self._spare = standins.PlatformEndpoint(
            reactor=reactor, script=standins.make_answer
        )
        self._seen: dict[str, _Seen] = {}
        self._probes = 0
        self.version = 1
        self.restores = 0
        self.violations: list[str] = []

    def start(self) -> None:
        """Starts the endpoint that leaves later."""
        self._spare.start()
        self._store.put_json(
            _MEMBERSHIP_TOPIC,
            _SPARE_NAME,
            testing.make_endpoint_document(
                port=self._spare.port, service=SPARE_SERVICE
            ),
        )

    def close(self) -> defer.Deferred:
        """Stops the endpoint."""
        return defer.maybeDeferred(self._spare.close)

    async def run(self, until: float) -> None:
        """Publishes versions and restores the store until a time."""
        while self._reactor.seconds() < until:
            former = self._store.make_copy()
            copied_at = self._reactor.seconds()
            for _ in range(self._generator.choice((1, 1, 2, 3))):
                self.publish_next()
                await self._sleep(0.2 + self._generator.random())
            self._store.outage = self._generator.choice(("busy", "reset"))
            await self._sleep(0.5 * self._generator.random())
            lost = self._restore(former)
            self._store.outage = ""
            await self._sleep(0.5 + 2.0 * self._generator.random())
            self._write_again(lost)
            self._on_rewrite(copied_at)
            await self._sleep(self._generator.random())

    async def watch(self, until: float) -> None:
        """Probes the gateways until a time."""
        while self._reactor.seconds() < until:
            for gateway in self._gateways:
                testing.spawn(self._probe(gateway))
            await self._sleep(_PROBE_INTERVAL_S)

    async def publish_at_reused_offsets(self, *paths: str) -> None:
        """Lets the store lose versions, and publishes one in their place.

        An endpoint leaves before the restore, and the copy still names it.

        Args:
            *paths: The paths of the version's additional routes.
        """
        former = self._store.make_copy()
        self._store.put(_MEMBERSHIP_TOPIC, _SPARE_NAME, b"")
        self.publish_next()
        self.publish_next()
        await self._sleep(_APPLY_WAIT_S)
        self._store.outage = "busy"
        self._restore(former)
        self.version += 1
        self._publish(self.version, *self._list_paths(), *paths)
        for _ in range(3):
            self._store.put(_CONFIGURATION_TOPIC, "other", b"x")
        self._store.outage = ""

    async def check_departure(self, until: float) -> None:
        """Checks until a time that the endpoint that left gets no requests."""
        while self._reactor.seconds() < until:
            for gateway in self._gateways:
                if await self._call(gateway, SPARE_PATH) == 200:
                    self.violations.append(
                        f"{gateway.name}: an endpoint that had left answered"
                    )
            await self._sleep(_PROBE_INTERVAL_S)

    def _restore(self, former: standins.StoreCopy) -> dict[str, list]:
        self.restores += 1
        return self._store.restore(former)

    def _write_again(self, lost: dict[str, list]) -> None:
        for topic in _REWRITTEN_TOPICS:
            for key, value in lost.get(topic, ()):
                self._store.put(topic, key, value)

    def publish_next(self) -> None:
        """Publishes the next version of the configuration."""
        self.version += 1
        self._publish(self.version, *self._list_paths())

    def _list_paths(self) -> list[str]:
        return [
            make_version_path(version) for version in range(2, self.version + 1)
        ]

    async def _probe(self, gateway: _gateways.GatewayProcess) -> None:
        """Asks a gateway for the newest version and for the one last seen."""
        seen = self._seen.get(gateway.name)
        versions = {self.version}
        if seen is not None:
            versions.add(seen.version)
        for version in sorted(versions):
            await self._probe_version(gateway, version)

    async def _probe_version(
        self, gateway: _gateways.GatewayProcess, version: int
    ) -> None:
        if version == 1 or not gateway.is_running:
            return
        pid = gateway.pid
        before = self._seen.get(gateway.name)
        status = await self._call(gateway, make_version_path(version))
        if not gateway.is_running or gateway.pid != pid:
            return
        if status == 200:
            self._record_seen(gateway.name, pid, version)
        was_in_force = (
            before is not None
            and before.pid == pid
            and before.version >= version
        )
        if status == _UNKNOWN_ROUTE and was_in_force:
            self.violations.append(
                f"{gateway.name}: version {version} is no longer in force"
            )

    def _record_seen(self, name: str, pid: int, version: int) -> None:
        former = self._seen.get(name)
        if former is not None and former.pid == pid:
            version = max(version, former.version)
        self._seen[name] = _Seen(pid=pid, version=version)

    async def _call(self, gateway: _gateways.GatewayProcess, path: str) -> int:
        """Returns the status of an answer, or zero without one."""
        self._probes += 1
        try:
            caller = await testing.connect(self._reactor, gateway.port)
        except error.ConnectError:
            return 0
        caller.send(
            testing.make_request(
                path, method="GET", request_id=f"probe{self._probes}"
            )
        )
        return (await caller.read_within(_PROBE_TIMEOUT_S)).status

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
