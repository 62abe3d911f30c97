"""What an endpoint's own answers show of its health."""

# Weight of the newest outcome in the failure rate.
_NEWEST_SHARE = 0.25
# The failure rate halves in this time when nothing is sent there.
_HALF_LIFE_S = 3.0
_LATENCY_NEWEST_SHARE = 0.2
# A silence this many times the usual latency is no usual one.
_SILENCE_LATENCIES = 4.0
# Others' word doesn't count when the endpoint was heard of this recently.
_SUSPICION_S = 0.3


class Health:
    """Failure rate, latency and silence of one endpoint.

    Args:
        silence_timeout_s: The shortest silence that counts.

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
        self._expected: dict[str, float] = {}
        self._heard_at = float("-inf")
        self._failure_rate = 0.0
        self._rated_at = 0.0

    def add_pending(self, attempt: str, now: float) -> None:
        """Notes that an answer is owed."""
        self._expected[attempt] = now

    def remove_pending(self, attempt: str) -> None:
        """Notes that an answer is no longer owed."""
        self._expected.pop(attempt, None)

    def record_activity(self, now: float) -> None:
        """Notes that the endpoint has sent something."""
        self._heard_at = now
        self.unreachable_since = None
        self.suspected_since = None

    def record_success(self, latency_s: float, now: float) -> None:
        """Notes a good answer and how long it took."""
        self._rate(0.0, now)
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += _LATENCY_NEWEST_SHARE * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Notes a failure of the endpoint, or a lost answer."""
        self._rate(1.0, now)

    def mark_unreachable(self, now: float) -> None:
        """Notes that it couldn't be reached, or was silent for too long."""
        if self.unreachable_since is None:
            self.unreachable_since = now

    def mark_suspected(self, now: float) -> None:
        """Notes that another gateway couldn't reach the endpoint.

        It counts until the endpoint is heard of by this one. It isn't told
        on: a rumour would outlive its cause.
        """
        if now - self._heard_at > _SUSPICION_S and not self.suspected_since:
            self.suspected_since = now

    def reset_silence(self, now: float) -> None:
        """Doesn't count a pause of this process as silence of others."""
        for attempt in self._expected:
            self._expected[attempt] = now

    def is_silent(self, now: float) -> bool:
        """Says whether it owes an answer and has been silent for too long."""
        limit_s = max(
            self.silence_timeout_s, _SILENCE_LATENCIES * (self.latency_s or 0.0)
        )
        return any(
            now - sent_at > limit_s and self._heard_at <= sent_at
            for sent_at in self._expected.values()
        )

    def is_observed_unreachable(self, now: float) -> bool:
        """Says whether this gateway itself couldn't reach it."""
        return self.unreachable_since is not None or self.is_silent(now)

    def is_reachable(self, now: float) -> bool:
        """Says whether new work may go there."""
        is_suspected = self.suspected_since is not None
        return not is_suspected and not self.is_observed_unreachable(now)

    def compute_failure_rate(self, now: float) -> float:
        """Returns the share of recent attempts that failed, faded by age."""
        age_s = max(0.0, now - self._rated_at)
        return self._failure_rate * 0.5 ** (age_s / _HALF_LIFE_S)

    def _rate(self, failed: float, now: float) -> None:
        rate = self.compute_failure_rate(now)
        self._failure_rate = rate + _NEWEST_SHARE * (failed - rate)
        self._rated_at = now
