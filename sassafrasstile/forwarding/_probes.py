"""Probes of endpoints that can't be reached."""

import logging

from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import web
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _context

_LOG = logging.getLogger("sassafrasstile.forwarding")
_PROBE_TIMEOUT_S = 0.4


class Prober:
    """Asks unreachable endpoints whether they are back.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._running: set[dispatch.Endpoint] = set()
        self._loop = task.LoopingCall(self._probe_all)
        self._loop.clock = context.reactor

    def start(self) -> None:
        """Starts probing."""
        self._loop.start(self._context.settings.probe_s, now=False)

    def close(self) -> None:
        """Stops probing."""
        if self._loop.running:
            self._loop.stop()

    def _probe_all(self) -> None:
        now = self._context.now()
        for endpoint in self._context.endpoints.list_unreachable(now):
            endpoint.health.note_unreachable(now)
            if endpoint not in self._running:
                self._probe(endpoint)

    def _probe(self, endpoint: dispatch.Endpoint) -> None:
        self._running.add(endpoint)
        self._context.metrics.probes.inc()
        probing = _attempts.fail_on_timeout(
            self._ask(endpoint), self._context.reactor, _PROBE_TIMEOUT_S
        )

        def note(result):
            self._running.discard(endpoint)
            _LOG.info(
                "probe: endpoint %s: %s.",
                endpoint.name,
                "no answer" if result is None else f"answered {result}",
                extra={"endpoint": endpoint.name},
            )

        probing.addErrback(lambda _reason: None)
        probing.addCallback(note)

    async def _ask(self, endpoint: dispatch.Endpoint) -> int | None:
        context = self._context
        configuration = context.book.current
        service = configuration and configuration.services.get(
            endpoint.record.service
        )
        if not service:
            return None
        outgoing = context.codec.encode_probe(
            record=endpoint.record, service=service
        )
        pool = context.get_pool(endpoint)
        reply: web.Reply | None = None
        try:
            reply = await pool.send(
                method=outgoing.method,
                target=outgoing.target,
                headers=outgoing.headers,
                fresh=True,
            )
            head = await reply.read_head()
            await reply.read_body()
        finally:
            if reply is not None:
                reply.close()
        return head.status
