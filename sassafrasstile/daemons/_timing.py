"""Measures the latencies of requests for the metrics."""

import dataclasses

from sassafrasstile import durations
from sassafrasstile import telemetry

OUTCOME_COMPLETE = "complete"


@dataclasses.dataclass(kw_only=True)
class _Timing:
    kind: str
    target: str
    started_at: float
    first_token_at: float | None = None
    last_token_at: float | None = None
    tokens: int = 0


class TimingTable:
    """Measures the latencies of the requests in flight.

    Args:
        reactor: The reactor, used as the clock.
        metrics: The metrics to update.

    Attributes:
        estimate: How long requests take, by model or service.
    """

    def __init__(self, *, reactor, metrics: telemetry.GatewayMetrics):
        self.estimate = durations.DurationEstimate()
        self._reactor = reactor
        self._metrics = metrics
        self._timings: dict[str, _Timing] = {}

    def start(self, request_id: str, *, kind: str, target: str) -> None:
        """Records the arrival of a request.

        Args:
            request_id: The request's id.
            kind: Its kind, for the metrics.
            target: Its model or service.
        """
        self._timings[request_id] = _Timing(
            kind=kind, target=target, started_at=self._reactor.seconds()
        )

    def record_tokens(self, request_id: str, count: int) -> None:
        """Records tokens written to the caller."""
        timing = self._timings[request_id]
        now = self._reactor.seconds()
        if timing.first_token_at is None:
            timing.first_token_at = now
            self._metrics.first_token.observe(now - timing.started_at)
        timing.last_token_at = now
        timing.tokens += count

    def end(self, request_id: str, *, outcome: str) -> None:
        """Records the end and the outcome of a request."""
        timing = self._timings.pop(request_id, None)
        if timing is None:
            return
        self._metrics.requests.labels(timing.kind, outcome).inc()
        first_at = timing.first_token_at
        if first_at is None:
            first_at = self._reactor.seconds()
        per_token_s = None
        if timing.tokens > 1:
            duration_s = timing.last_token_at - first_at
            per_token_s = duration_s / (timing.tokens - 1)
            self._metrics.per_token.observe(per_token_s)
        if outcome == OUTCOME_COMPLETE:
            self.estimate.record(
                timing.target,
                durations.Duration(
                    first_s=first_at - timing.started_at,
                    per_token_s=per_token_s,
                ),
            )
