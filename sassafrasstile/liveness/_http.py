"""The liveness source `http`: the platform's VM states over HTTP."""

from collections.abc import Callable
import logging

import pydantic
from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import httpclient
from sassafrasstile import plugins
from sassafrasstile.liveness import _base

_LOG = logging.getLogger("sassafrasstile.liveness")


class _Vm(pydantic.BaseModel):
    vm: str
    state: str


class _VmList(pydantic.BaseModel):
    vms: list[_Vm]


@plugins.register(plugins.Kind.LIVENESS, "http")
class HttpLiveness(_base.LivenessSource):
    """Polls the platform with `GET /v1/vms`.

    Args:
        reactor: The reactor.
        url: The platform's base URL.
        poll_s: Interval between polls in seconds.
    """

    def __init__(self, *, reactor, url: str, poll_s: float):
        self.url = url
        self.poll_s = poll_s
        self._http = httpclient.HttpClient(
            reactor=reactor, base_url=url, reuses_connections=True
        )
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor
        self._on_states: Callable[[_base.VmStates], None] | None = None

    def start(self, on_states: Callable[[_base.VmStates], None]) -> None:
        """Starts polling and passes each result to `on_states`."""
        self._on_states = on_states
        self._loop.start(self.poll_s)

    def close(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()
        self._http.close()

    def _poll(self) -> defer.Deferred:
        return defer.ensureDeferred(self._read())

    async def _read(self) -> None:
        try:
            answer = await self._http.request_model("GET", "/v1/vms", _VmList)
        except Exception as failure:
            _LOG.info(
                "liveness: poll failed, states are unchanged: %r", failure
            )
            return
        if not self._loop.running:
            return
        self._on_states(
            _base.VmStates(
                live=frozenset(
                    row.vm for row in answer.vms if row.state == "live"
                ),
                leaving=frozenset(
                    row.vm for row in answer.vms if row.state == "leaving"
                ),
            )
        )
