"""Which requests can still be answered before a planned stop ends."""

import logging

from sassafrasstile import durations
from sassafrasstile import errors
from sassafrasstile import routes
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
_MS_PER_S = 1000
# An engine may send nothing for about this long and then go on.
_SILENCE_MARGIN_S = 1.0
# A generation that arrives later than this after the stop has begun is
# accepted only if its deadline lies before the end.
_LATE_ARRIVAL_S = 2.5
_MIN_RETRY_AFTER_S = 0.5


class ShutdownSchedule:
    """Decides whether a request can be answered before the process ends.

    It is asked when a request arrives and again before each send, since a
    request may have waited in between.
    """

    def __init__(self):
        self._began_at: float | None = None
        self._ends_at = 0.0
        self._notice_s = 0.0
        self._durations = durations.DurationEstimate()

    @property
    def has_begun(self) -> bool:
        """True once the process is stopping."""
        return self._began_at is not None

    def begin(
        self, *, began_at: float, ends_at: float, notice_s: float
    ) -> None:
        """Starts to refuse requests that wouldn't be answered in time.

        Args:
            began_at: When the stop began, in seconds.
            ends_at: When requests in flight are aborted, in seconds.
            notice_s: Time from the beginning after which the load balancer
                sends new connections elsewhere.
        """
        self._began_at = began_at
        self._ends_at = ends_at
        self._notice_s = notice_s

    def end(self, now: float) -> None:
        """Refuses every further request."""
        self._ends_at = min(self._ends_at, now)

    def record_stream(
        self, service: str, *, first_token_s: float, token_s: float | None
    ) -> None:
        """Learns from a stream that has ended.

        Args:
            service: The name of its service.
            first_token_s: Seconds from its arrival to the first event.
            token_s: Seconds for each token after the first event, or None if
                there was none.
        """
        self._durations.record(
            service,
            durations.Duration(first_s=first_token_s, per_token_s=token_s),
        )

    def measure_age_s(self, now: float) -> float:
        """Returns for how many seconds the process has been stopping."""
        return 0.0 if self._began_at is None else now - self._began_at

    def estimate_retry_after_s(self, now: float) -> float:
        """Returns when a refused caller may expect to get another gateway."""
        notice_left_s = self._notice_s - self.measure_age_s(now)
        return max(_MIN_RETRY_AFTER_S, notice_left_s)

    def estimate_needed_s(self, task: _task.RequestTask, now: float) -> float:
        """Returns within how many seconds a request is answered.

        Args:
            task: The request.
            now: The time in seconds.
        """
        # By its deadline it gets an answer in any case.
        until_deadline_s = max(0.0, task.deadline - now)
        if task.route.kind is not routes.RouteKind.GENERATION:
            return until_deadline_s
        tokens = task.details.output_tokens
        if not tokens or self._is_late(task):
            return until_deadline_s
        slow_s = self._durations.estimate_s(
            task.service.name, tokens=tokens, limit_s=until_deadline_s
        )
        return min(until_deadline_s, slow_s + _SILENCE_MARGIN_S)

    def _is_late(self, task: _task.RequestTask) -> bool:
        arrived_at = task.request.received_at
        return arrived_at > self._began_at + _LATE_ARRIVAL_S

    def find_denial(
        self, task: _task.RequestTask, now: float
    ) -> verdicts.NotRun | None:
        """Returns a verdict if a request can't be answered before the end.

        A stream that has begun isn't denied.

        Args:
            task: The request.
            now: The time in seconds.
        """
        if self._began_at is None or task.exchange.has_begun:
            return None
        needed_s = self.estimate_needed_s(task, now)
        if now + needed_s < self._ends_at:
            return None
        self._log(task, now, needed_s)
        return verdicts.NotRun(
            code=errors.Code.STOPPING,
            retry_after_s=self.estimate_retry_after_s(now),
        )

    def _log(
        self, task: _task.RequestTask, now: float, needed_s: float
    ) -> None:
        if task.is_denied_by_stop:
            return
        task.is_denied_by_stop = True
        _LOG.info(
            "shutdown: request %s can't be finished in time.",
            task.request_id,
            extra={
                **self._describe(task, now),
                "output_tokens": task.details.output_tokens,
                "needed_ms": round(needed_s * _MS_PER_S),
                "left_ms": round((self._ends_at - now) * _MS_PER_S),
                "outcome": "refused",
            },
        )

    def log_abort(self, task: _task.RequestTask, now: float) -> None:
        """Logs that a request is aborted, and how far it got."""
        _LOG.info(
            "shutdown: request %s is aborted.",
            task.request_id,
            extra={**self._describe(task, now), "outcome": task.phase.value},
        )

    def _describe(self, task: _task.RequestTask, now: float) -> dict:
        return {
            "request": task.request_id,
            "workspace": task.workspace_name,
            "age_ms": round((now - task.request.received_at) * _MS_PER_S),
            "stopping_ms": round(self.measure_age_s(now) * _MS_PER_S),
            "sends": task.sends,
        }
