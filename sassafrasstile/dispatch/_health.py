"""Endpoint health, as observed from its responses."""

# Weight of the newest outcome in the moving average of failures.
_FAILURE_WEIGHT = 0.25
# Half-life of the failure rate of an endpoint that gets no requests.
_FAILURE_HALF_LIFE_S = 3.0
# Weight of the newest latency in its moving average.
_LATENCY_WEIGHT = 0.2
# Silence counts only beyond this multiple of the mean latency.
_SILENCE_LATENCIES = 4.0
# An endpoint whose address another instance has taken gets no work for this
# long. Its record is usually dropped before.
_REPLACED_S = 5.0
# A peer's report is ignored if the endpoint sent something this recently.
_RECENT_ACTIVITY_S = 0.3


class Health:
    """Failure rate, latency and silence of one endpoint.

    Args:
        silence_timeout_s: Minimum silence in seconds after which an
            endpoint with pending requests counts as silent.

    >>> health = Health(silence_timeout_s=1.0)
    >>> health.add_pending("r1", 0.0)
    >>> health.is_silent(0.9), health.is_silent(1.1)
    (False, True)
    >>> health.record_activity(1.2)
    >>> health.is_silent(1.3)
    False
    """

    def __init__(self, *, silence_timeout_s: float):
        self.silence_timeout_s = silence_timeout_s
        self.latency_s: float | None = None
        self.unreachable_since: float | None = None
        self.suspected_since: float | None = None
        self._replaced_until = float("-inf")
        self._pending: dict[str, float] = {}
        self._last_activity_at = float("-inf")
        self._failure_rate = 0.0
        self._rate_updated_at = 0.0

    def add_pending(self, attempt: str, now: float) -> None:
        """Adds an attempt that waits for its response."""
        self._pending[attempt] = now

    def remove_pending(self, attempt: str) -> None:
        """Removes an attempt that no longer waits for its response."""
        self._pending.pop(attempt, None)

    def record_activity(self, now: float) -> None:
        """Records that the endpoint has sent something."""
        self._last_activity_at = now
        self.unreachable_since = None
        self.suspected_since = None

    def record_success(self, latency_s: float, now: float) -> None:
        """Records a successful response and its latency."""
        self._update_failure_rate(0.0, now)
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Records a failure of the endpoint, or a lost response."""
        self._update_failure_rate(1.0, now)

    def mark_unreachable(self, now: float) -> None:
        """Marks the endpoint as unreachable or silent for too long."""
        if self.unreachable_since is None:
            self.unreachable_since = now

    def mark_suspected(self, now: float) -> None:
        """Marks the endpoint as unreachable from another gateway.

        The mark lasts until this gateway receives something from the
        endpoint. It isn't passed on to other gateways: they would keep
        reporting it to each other after the endpoint has recovered.
        """
        if (
            now - self._last_activity_at > _RECENT_ACTIVITY_S
            and not self.suspected_since
        ):
            self.suspected_since = now

    def mark_replaced(self, now: float) -> None:
        """Marks that another instance has taken the endpoint's address.

        Bytes from that address don't clear the mark, since they come from the
        other instance.
        """
        self._replaced_until = now + _REPLACED_S

    def is_replaced(self, now: float) -> bool:
        """Returns whether another instance has taken its address recently."""
        return now < self._replaced_until

    def reset_silence(self, now: float) -> None:
        """Restarts the silence timers of all pending attempts.

        After a suspension of this process, the elapsed time says nothing
        about the endpoint.
        """
        for attempt in self._pending:
            self._pending[attempt] = now

    def is_silent(self, now: float) -> bool:
        """Returns whether nothing came since an overdue attempt was sent."""
        if not self._pending:
            return False
        limit_s = max(
            self.silence_timeout_s, _SILENCE_LATENCIES * (self.latency_s or 0.0)
        )
        return any(
            now - sent_at > limit_s and self._last_activity_at <= sent_at
            for sent_at in self._pending.values()
        )

    def is_observed_unreachable(self, now: float) -> bool:
        """Returns whether this gateway itself found it unreachable."""
        if self.unreachable_since is not None or self.is_replaced(now):
            return True
        return self.is_silent(now)

    def is_reachable(self, now: float) -> bool:
        """Returns whether new work may be sent to the endpoint."""
        is_suspected = self.suspected_since is not None
        return not is_suspected and not self.is_observed_unreachable(now)

    def needs_probe(self, now: float) -> bool:
        """Returns whether a probe could show that it is reachable again."""
        return not self.is_replaced(now) and not self.is_reachable(now)

    def compute_failure_rate(self, now: float) -> float:
        """Returns the moving failure rate, decayed since its last update."""
        age_s = max(0.0, now - self._rate_updated_at)
        return self._failure_rate * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def _update_failure_rate(self, failed: float, now: float) -> None:
        rate = self.compute_failure_rate(now)
        self._failure_rate = rate + _FAILURE_WEIGHT * (failed - rate)
        self._rate_updated_at = now
