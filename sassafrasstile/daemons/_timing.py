"""Times requests for the metrics."""

import dataclasses

from sassafrasstile import telemetry


@dataclasses.dataclass(kw_only=True)
class _Timing:
    kind: str
    began_at: float
    first_at: float | None = None
    last_at: float | None = None
    tokens: int = 0


class TimingTable:
    """Times the requests in flight.

    Args:
        reactor: The reactor, for the time.
        metrics: Where the times go.
    """

    def __init__(self, *, reactor, metrics: telemetry.GatewayMetrics):
        self._reactor = reactor
        self._metrics = metrics
        self._timings: dict[str, _Timing] = {}

    def start(self, request_id: str, *, kind: str) -> None:
        """Notes a request's arrival."""
        self._timings[request_id] = _Timing(
            kind=kind, began_at=self._reactor.seconds()
        )

    def note_tokens(self, request_id: str, count: int) -> None:
        """Notes tokens written to the caller."""
        timing = self._timings[request_id]
        now = self._reactor.seconds()
        if timing.first_at is None:
            timing.first_at = now
            self._metrics.first_token.observe(now - timing.began_at)
        timing.last_at = now
        timing.tokens += count

    def end(self, request_id: str, *, outcome: str) -> None:
        """Notes a request's end."""
        timing = self._timings.pop(request_id, None)
        if timing is None:
            return
        self._metrics.requests.labels(timing.kind, outcome).inc()
        if timing.tokens > 1:
            taken_s = timing.last_at - timing.first_at
            self._metrics.per_token.observe(taken_s / (timing.tokens - 1))
