"""Health probes of unreachable endpoints."""

import logging

from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import web
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _control_calls
from sassafrasstile.forwarding import _sends

_LOG = logging.getLogger("sassafrasstile.forwarding")
_PROBE_TIMEOUT_S = 0.4


class Prober:
    """Probes unreachable endpoints until they answer again.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._running: set[dispatch.Endpoint] = set()
        # Endpoints to which no connection could be opened. What answers at
        # their address next may be another instance.
        self._vanished: set[dispatch.Endpoint] = set()
        self._loop = task.LoopingCall(self._probe_all)
        self._loop.clock = context.reactor

    def start(self) -> None:
        """Starts probing."""
        self._loop.start(self._context.settings.probe_interval_s, now=False)

    def close(self) -> None:
        """Stops probing."""
        if self._loop.running:
            self._loop.stop()

    def _probe_all(self) -> None:
        now = self._context.now()
        self._vanished = {
            item for item in self._vanished if not item.is_removed
        }
        for endpoint in self._context.endpoints.list_to_probe(now):
            if endpoint.health.is_silent(now):
                endpoint.health.mark_unreachable(now)
            if endpoint not in self._running:
                self._probe(endpoint)

    def _probe(self, endpoint: dispatch.Endpoint) -> None:
        configuration = self._context.active_configuration.current
        service = configuration and configuration.services.get(
            endpoint.record.service
        )
        if not service:
            return
        outgoing = self._context.codec.encode_probe(
            record=endpoint.record,
            service=service,
            must_name_instance=endpoint in self._vanished,
        )
        self._running.add(endpoint)
        self._context.metrics.probes.inc()
        probing = _control_calls.call_endpoint(
            self._context,
            endpoint,
            outgoing,
            timeout_s=_PROBE_TIMEOUT_S,
            fresh=True,
        )

        def record_answer(answer: _control_calls.ControlAnswer) -> str:
            self._vanished.discard(endpoint)
            if self._context.codec.names_other_instance(
                answer.head, endpoint_id=endpoint.name
            ):
                endpoint.health.mark_replaced(self._context.now())
                return "another instance has its address"
            return f"answered {answer.head.status}"

        def record_failure(reason) -> str:
            if reason.check(_sends.SendDeniedError):
                return f"not sent ({reason.getErrorMessage()})"
            if _is_connection_failure(reason.value):
                self._vanished.add(endpoint)
            else:
                # A full engine leaves health checks waiting.
                self._vanished.discard(endpoint)
            endpoint.health.mark_unreachable(self._context.now())
            return f"no answer ({reason.getErrorMessage()})"

        def finish(outcome: str) -> None:
            self._running.discard(endpoint)
            _LOG.info(
                "probe: endpoint %s: %s.",
                endpoint.name,
                outcome,
                extra={"endpoint": endpoint.name},
            )

        probing.addCallbacks(record_answer, record_failure)
        probing.addCallback(finish)


def _is_connection_failure(failure: Exception) -> bool:
    """Returns whether no connection to the endpoint could be opened."""
    return (
        isinstance(failure, web.ExchangeError)
        and failure.code is errors.Code.ENDPOINT_UNREACHABLE
    )
