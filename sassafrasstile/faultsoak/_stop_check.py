"""Checks what happened to requests around planned stops, rule by rule."""

import collections
from collections.abc import Mapping, Sequence
import dataclasses
import signal

from sassafrasstile.faultsoak import _stop_records

# Callers are told by these statuses that the request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Of kept connections, this many may be lost by machines in touch.
_MAX_CALM_LOSSES = 3
# A request sent by this time after a SIGTERM may be cut at its end.
_EARLY_S = 3.0
# The rest of the grace time in which a cut of a running request is excused.
_LAST_PART = 1 / 6
_STOP_MARGIN_S = 1.0
_CONFIG_MARGIN_S = 1.0
_USED_SHARE = 0.7
# By this time after its caller left, a request is no longer sent on.
_GONE_S = 0.5
# Of the requests whose callers left, this share may still be worked on then.
_GONE_SHARE = 0.25
_MIN_GONE = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopBounds:
    """Bounds of the rules in seconds.

    Attributes:
        grace_s: The time between SIGTERM and SIGKILL.
        loss_slack_s: A request that crosses the end of its connection may be
            lost in this time.
        config_apply_s: The time until a configuration is in force.
    """

    grace_s: float = 8.0
    loss_slack_s: float = 0.2
    config_apply_s: float = 2.0


class StopCheck:
    """Finds violations in the records of a run.

    Args:
        attempts: The requests.
        executions: What endpoints saw of them, by request id.
        lives: The processes of the gateways.
        configured_at: When configurations were written.
        bounds: The bounds.

    Attributes:
        violations: What was found, one line each.
        late: The gateways that were killed at the end of the grace time.
        excused: How often requests without a whole answer were excused, by
            the reason.
    """

    def __init__(
        self,
        *,
        attempts: Sequence[_stop_records.Attempt],
        executions: Mapping[str, Sequence[_stop_records.Execution]],
        lives: Sequence[_stop_records.Life],
        configured_at: Sequence[float] = (),
        bounds: StopBounds | None = None,
    ):
        self._attempts = attempts
        self._executions = executions
        self._lives = lives
        self._configured_at = configured_at
        self._bounds = bounds or StopBounds()
        self.violations: list[str] = []
        self.late: list[str] = []
        self.excused: collections.Counter[str] = collections.Counter()

    def check(self) -> None:
        """Checks everything."""
        self._check_losses()
        for attempt in self._attempts:
            self._check_answer(attempt)
        self._check_gone()
        for life in self._lives:
            self._check_end(life)

    # Requests without a whole answer.

    def _check_losses(self) -> None:
        calm = []
        for attempt in self._attempts:
            if attempt.is_whole or attempt.sent_at is None:
                continue
            if attempt.ended_at is None:
                self._report(attempt, "never ended")
                continue
            excuse = self._find_excuse(attempt)
            sentence = self._find_planned_work(attempt)
            if excuse:
                self.excused[excuse] += 1
            elif sentence:
                self._report(attempt, f"LOST around {sentence}")
            else:
                calm.append(attempt)
        self._check_calm(calm)

    def _find_excuse(self, attempt: _stop_records.Attempt) -> str:
        executions = self._list_executions(attempt)
        if attempt.ended_by == "caller":
            return "the caller left"
        if attempt.ended_at >= attempt.sent_from + attempt.kind.limit_s:
            return "its time was up"
        if any(item.ended_by == "deadline" for item in executions):
            return "the endpoint broke off"
        if not executions:
            late_by_s = attempt.ended_at - attempt.sent_at
            if late_by_s <= self._bounds.loss_slack_s:
                return "crossed the end of its connection"
            # A process that has begun to read accepts each new connection.
            if not self._has_read(attempt.life):
                return "was never read"
        stopped_at = attempt.life.stopped_at
        if stopped_at is None or attempt.sent_at > stopped_at + _EARLY_S:
            return ""
        until = stopped_at + self._bounds.grace_s
        since = until - _LAST_PART * self._bounds.grace_s
        if any(item.is_at_work(since, until) for item in executions):
            return "ran in the last sixth"
        return ""

    def _find_planned_work(self, attempt: _stop_records.Attempt) -> str:
        life = attempt.life
        length_s = self._bounds.grace_s + _STOP_MARGIN_S
        if life.stopped_at is not None and (
            life.stopped_at <= attempt.ended_at <= life.stopped_at + length_s
        ):
            return "a SIGTERM"
        if any(
            attempt.sent_at <= at + self._bounds.config_apply_s
            and attempt.ended_at >= at
            for at in life.reloaded_at
        ):
            return "a SIGHUP"
        # Nothing else cuts requests in this soak, so that one beside a
        # configuration is more than three times as many as usual.
        limit_s = self._bounds.config_apply_s + _CONFIG_MARGIN_S
        used_s = attempt.ended_at - attempt.sent_from
        if used_s < _USED_SHARE * attempt.kind.limit_s and any(
            0 <= attempt.ended_at - at <= limit_s for at in self._configured_at
        ):
            return "a configuration"
        return ""

    def _check_calm(self, calm: list[_stop_records.Attempt]) -> None:
        """Checks what was cut beside no planned work."""
        kept = [
            attempt
            for attempt in calm
            if attempt.is_kept and self._list_executions(attempt)
        ]
        if len(kept) > _MAX_CALM_LOSSES:
            for attempt in kept:
                self._report(attempt, "LOST from a kept connection")

    # Answers, executions and processes.

    def _check_answer(self, attempt: _stop_records.Attempt) -> None:
        if attempt.error:
            self._report(attempt, f"MIXED: {attempt.error}")
        if attempt.kind.may_repeat:
            return
        runs = [
            item
            for item in self._list_executions(attempt)
            if item.ran_at is not None
        ]
        if len(runs) > 1:
            self._report(attempt, f"TWICE: ran {len(runs)} times")
        if runs and attempt.status in _NOT_RUN_STATUSES:
            self._report(attempt, f"REFUSED: {attempt.status}, and it ran")

    def _check_gone(self) -> None:
        gone = late = 0
        for attempt in self._attempts:
            if attempt.ended_by != "caller":
                continue
            limit = attempt.ended_at + _GONE_S
            executions = self._list_executions(attempt)
            if any(item.arrived_at > limit for item in executions):
                self._report(attempt, "GONE: sent on after its caller had left")
            gone += 1
            late += any(
                item.ended_at is None or item.ended_at > limit
                for item in executions
            )
        if late >= _MIN_GONE and late > _GONE_SHARE * gone:
            self.violations.append(
                f"GONE: {late} of {gone} requests whose callers had left "
                "were worked on"
            )

    def _check_end(self, life: _stop_records.Life) -> None:
        if life.ended_at is None:
            return
        stopped_at = life.stopped_at
        if stopped_at is None and life.exit_code != -signal.SIGHUP:
            self.violations.append(f"{life.gateway} ended by itself")
            return
        # A process that has read nothing yet may end at once.
        if life.exit_code < 0 and not self._has_read(life):
            self.excused[f"ended by {-life.exit_code} before it began"] += 1
            return
        zero = life.started_at if stopped_at is None else stopped_at
        if life.exit_code == -signal.SIGKILL:
            self.late.append(life.gateway)
        elif life.exit_code != 0:
            ended = _stop_records.show(life.ended_at, zero)
            self.violations.append(
                f"{life.gateway}: exit code {life.exit_code} {ended} s after "
                f"{'the start' if stopped_at is None else 'SIGTERM'}"
            )

    def _has_read(self, life: _stop_records.Life) -> bool:
        return any(
            attempt.life is life
            and (attempt.status or self._list_executions(attempt))
            for attempt in self._attempts
        )

    def _list_executions(self, attempt) -> list[_stop_records.Execution]:
        return list(self._executions.get(attempt.request_id, ()))

    def _report(self, attempt: _stop_records.Attempt, sentence: str) -> None:
        life = attempt.life
        is_stopped = life.stopped_at is not None
        zero = life.stopped_at if is_stopped else life.started_at
        executions = self._list_executions(attempt)
        places = "; ".join(item.describe(zero) for item in executions)
        self.violations.append(
            f"{_stop_records.show(attempt.ended_at, zero)} s after "
            f"{'SIGTERM' if is_stopped else 'the start'} of {life.gateway}: "
            f"{attempt.request_id} {attempt.kind.name}, "
            f"{_stop_records.name_phase(attempt, executions)}, "
            f"{'kept' if attempt.is_kept else 'new'} connection, "
            f"limit {attempt.kind.limit_s} s, "
            f"sent {_stop_records.show(attempt.sent_from, zero)} to "
            f"{_stop_records.show(attempt.sent_at, zero)}, "
            f"status {attempt.status}, ended by {attempt.ended_by} "
            f"[{places}] {sentence}"
        )
