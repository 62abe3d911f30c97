"""A record of the work that really ran, to check every answer against."""

import collections

from sassafrasstile.soak import _report

# Maximum time for which memory may be held after a request has ended.
MAX_HELD_S = 3.0
# Interval of the sidecars' ticks, tolerated on top of the maximum.
TICK_S = 0.1
LEAVING_LIMIT_S = 3.0


class ExecutionOracle:
    """Records the work of engines and services and checks answers against it.

    Args:
        report: The report to which violations are added.

    Attributes:
        report: The report to which violations are added.
        executions: Number of executions of each idempotency key.
        prefilled: Ids of the requests whose prefill an engine has started.
        not_run: Ids of the requests that were refused as not run.
        ended_at: Time at which each generation ended for its caller.
    """

    def __init__(self, *, report: _report.SoakReport):
        self.report = report
        self.executions: collections.Counter[str] = collections.Counter()
        self._last_serials: dict[str, int] = {}
        self.prefilled: set[str] = set()
        self.not_run: set[str] = set()
        self.ended_at: dict[str, float] = {}
        self._held_since: dict[str, float] = {}

    def record_prefill(self, request_id: str) -> None:
        """Records that an engine has started a prefill for a request."""
        self.prefilled.add(request_id)
        if request_id in self.not_run:
            self.report.record_violation(
                "not_run_but_ran", f"{request_id} was refused as not run"
            )

    def record_execution(self, key: str, request_id: str) -> None:
        """Records that a service runs a call."""
        self.executions[key] += 1
        self._last_serials[key] = _parse_serial(request_id)
        if request_id in self.not_run:
            self.report.record_violation(
                "not_run_but_ran", f"{request_id} was refused as not run"
            )
        if self.executions[key] > 1:
            self.report.record_violation(
                "executed_twice", f"{key} by {request_id}"
            )

    def record_not_run(self, request_id: str) -> None:
        """Records that a generation was refused as not run."""
        self.not_run.add(request_id)
        if request_id in self.prefilled:
            self.report.record_violation(
                "not_run_but_ran", f"{request_id} ran before"
            )

    def record_call_not_run(self, request_id: str, key: str) -> None:
        """Records that a call was refused as not run.

        The refusal covers this call and earlier ones with the same key, not
        later ones.

        Args:
            request_id: The key and the serial number of the call.
            key: The idempotency key.
        """
        self.not_run.add(request_id)
        last_serial = self._last_serials.get(key)
        if last_serial is None or last_serial > _parse_serial(request_id):
            return
        self.report.record_violation(
            "not_run_but_ran", f"{request_id} ran before"
        )

    def add_computed(self, tokens: int) -> None:
        """Adds prompt tokens that an engine computed."""
        self.report.computed_tokens += tokens

    def add_imported(self, tokens: int) -> None:
        """Adds computed tokens that a decode engine has imported."""
        self.report.imported_tokens += tokens

    def check_engines(self, engines, now: float) -> None:
        """Checks that no engine memory is held after a request has ended.

        Args:
            engines: The engine nodes.
            now: The current time.
        """
        for node in engines:
            if not (node.is_alive and node.is_engine_alive):
                continue
            if node.is_paused:
                continue
            since = max(node.resumed_at, node.started_at)
            for work_id in node.model.list_work():
                self._check_work(work_id, node.name, since, now)
        self._drop_released(engines)

    def _drop_released(self, engines) -> None:
        held = {
            work_id for node in engines for work_id in node.model.list_work()
        }
        self._held_since = {
            work_id: at
            for work_id, at in self._held_since.items()
            if work_id in held
        }

    def _check_work(
        self, work_id: str, name: str, since: float, now: float
    ) -> None:
        first_seen_at = self._held_since.setdefault(work_id, now)
        request_id = work_id.split(".")[0]
        ended_at = self.ended_at.get(request_id)
        if ended_at is None:
            return
        held_s = now - max(ended_at, since, first_seen_at)
        if held_s > MAX_HELD_S + TICK_S:
            self.report.record_violation(
                "held_after_gone", f"{work_id} at {name} for {held_s:.2f} s"
            )
            del self.ended_at[request_id]


def _parse_serial(request_id: str) -> int:
    return int(request_id.rpartition("#")[2])
