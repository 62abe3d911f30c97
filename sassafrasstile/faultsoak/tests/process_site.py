"""A site of real gateway processes beside stand-ins, for tests."""

import collections
import pathlib
import tempfile

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak import _gateways

SAFE = "/look/"
UNSAFE = "/once/"
STREAM = "/letter/"
RESUMABLE = "/note/"
PATHS = (SAFE, UNSAFE, STREAM, RESUMABLE)
_EVENTS = 3
_CLIENT_TIMEOUT_S = 40.0


class GatewaySite:
    """Gateway processes, a store and endpoints on loopback.

    Args:
        reactor: The reactor, on which the stand-ins run.
        gateways: The number of gateways.

    Attributes:
        store: The store.
        gateways: The gateways.
        endpoints: The endpoints by id.
        runs: How often each request has run, by its id.
    """

    def __init__(self, *, reactor, gateways: int = 2):
        self._reactor = reactor
        self._folder = tempfile.TemporaryDirectory()
        self._server = standins.PlatformStoreServer(reactor=reactor)
        self.store = self._server.store
        self.version = 0
        self.endpoints: dict[str, standins.PlatformEndpoint] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self._server.start()
        self.gateways = [
            self._make_gateway(number) for number in range(gateways)
        ]

    def _make_gateway(self, number: int) -> _gateways.GatewayProcess:
        return _gateways.GatewayProcess(
            name=f"g{number}",
            folder=pathlib.Path(self._folder.name),
            store_port=self._server.port,
        )

    def start(self) -> None:
        """Configures the site, adds endpoints and starts the gateways."""
        self.configure()
        for name in ("e0", "e1"):
            self.add_endpoint(name)
        self.add_endpoint("p0", service="writer", stage="prefill")
        for name in ("d0", "d1"):
            self.add_endpoint(name, service="writer", stage="decode")
        for gateway in self.gateways:
            gateway.start()

    def configure(self, *more_routes: dict) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        routes = [
            testing.make_platform_route(SAFE, "desk", "safe", timeoutMs=1500),
            testing.make_platform_route(
                UNSAFE, "desk", "unsafe", timeoutMs=1500
            ),
            testing.make_platform_route(
                STREAM, "writer", "streaming", timeoutMs=14000
            ),
            testing.make_platform_route(
                RESUMABLE,
                "writer",
                "streaming",
                timeoutMs=14000,
                resumable=True,
                maxAttempts=2,
            ),
            *more_routes,
        ]
        document = testing.make_configuration_document(
            version=self.version, routes=routes
        )
        self.store.put_json("keyed.op", "config", document)

    def add_endpoint(self, name: str, **changes) -> standins.PlatformEndpoint:
        """Starts an endpoint and announces it."""

        def serve(request: standins.EndpointRequest):
            return self.serve(name, request)

        endpoint = standins.PlatformEndpoint(
            reactor=self._reactor, script=serve
        )
        endpoint.start()
        self.endpoints[name] = endpoint
        self.store.put_json("keyed.servers", name, self.describe(name, changes))
        return endpoint

    def describe(self, name: str, changes: dict) -> dict:
        """Returns the membership document of an endpoint."""
        port = self.endpoints[name].port
        return testing.make_endpoint_document(port=port, **changes)

    def serve(self, name: str, request) -> standins.EndpointAnswer:
        """Answers a request at an endpoint; a test may replace this."""
        if request.headers.get("x-expect-instance", name) != name:
            return standins.make_misdirected(request, instance=name)
        if "hold-take" in request.target:
            return standins.make_hold(request, "hold")
        if not request.request_id:
            return standins.make_health(request, instance=name)
        if request.headers.get("x-stage") == "prefill":
            return standins.make_handle(request, "handle")
        self.runs[request.request_id] += 1
        return self.run_request(request)

    def run_request(self, request) -> standins.EndpointAnswer:
        """Returns the answer of an endpoint that runs a request."""
        if name_of(request.target) in (STREAM, RESUMABLE):
            return standins.make_stream(request, count=_EVENTS)
        return standins.make_answer(request)

    async def ask(
        self, gateway: _gateways.GatewayProcess, path: str, request_id: str
    ) -> testing.RawAnswer:
        """Sends a request on a connection of its own."""
        caller = await testing.connect(self._reactor, gateway.port)
        caller.send(make_request(path, request_id))
        return await caller.read_within(_CLIENT_TIMEOUT_S)

    def read_logs(self) -> str:
        """Returns what the gateways have written."""
        return "".join(
            path.read_text(errors="replace")
            for path in pathlib.Path(self._folder.name).glob("*.log")
        )

    async def close(self) -> None:
        """Ends the processes and the stand-ins."""
        for gateway in self.gateways:
            gateway.close()
        for endpoint in self.endpoints.values():
            await endpoint.close()
        await self._server.close()
        self._folder.cleanup()


def name_of(target: str) -> str:
    """Returns the path of the route that a target belongs to."""
    return f"/{target.split('/')[1]}/"


def make_request(path: str, request_id: str, **options) -> bytes:
    """Returns the bytes of a request of either kind."""
    headers = (
        "X-Model: m",
        "X-Token-Count: 100,30",
        f"X-Prompt-Prefix: 5c1e07a2:80,{request_id}:20",
    )
    return testing.make_request(
        path, request_id=request_id, headers=headers, **options
    )


def is_whole(path: str, answer: testing.RawAnswer) -> bool:
    """Returns whether an answer is the endpoint's whole one."""
    if answer.status != 200 or answer.is_reset:
        return False
    if path in (STREAM, RESUMABLE):
        events = answer.body.count(b"data: token")
        return answer.is_complete_stream and events == _EVENTS
    return answer.body == b"ok"
