"""What really happened, against which every answer is checked."""

import collections

from sassafrasstile.soak import _report

HELD_LIMIT_S = 3.0
TICK_S = 0.1
LEAVING_LIMIT_S = 3.0


class Truth:
    """Work done by engines and services, by request and by key.

    Args:
        report: Where broken promises go.
    """

    def __init__(self, *, report: _report.SoakReport):
        self.report = report
        self.executions: collections.Counter[str] = collections.Counter()
        self._executed_by: dict[str, int] = {}
        self.worked: set[str] = set()
        self.refused: set[str] = set()
        self.gone_at: dict[str, float] = {}
        self._held_since: dict[str, float] = {}

    def note_work(self, request_id: str) -> None:
        """Notes that an engine starts a prefill for a request."""
        self.worked.add(request_id)
        if request_id in self.refused:
            self.report.violate(
                "not_run_but_ran", f"{request_id} was refused as not run"
            )

    def note_execution(self, key: str, request_id: str) -> None:
        """Notes that a service runs a call."""
        self.executions[key] += 1
        self._executed_by[key] = _read_serial(request_id)
        if request_id in self.refused:
            self.report.violate(
                "not_run_but_ran", f"{request_id} was refused as not run"
            )
        if self.executions[key] > 1:
            self.report.violate("executed_twice", f"{key} by {request_id}")

    def note_not_run(self, request_id: str) -> None:
        """Notes that a caller is told that its generation didn't run."""
        self.refused.add(request_id)
        if request_id in self.worked:
            self.report.violate("not_run_but_ran", f"{request_id} ran before")

    def note_call_not_run(self, request_id: str, key: str) -> None:
        """Notes that a caller is told that its call didn't run.

        The answer speaks of this call and of those that it repeats, not of
        later ones with the same key.

        Args:
            request_id: The key and the serial number of the call.
            key: The key.
        """
        self.refused.add(request_id)
        executed_by = self._executed_by.get(key)
        if executed_by is None or executed_by > _read_serial(request_id):
            return
        self.report.violate("not_run_but_ran", f"{request_id} ran before")

    def add_computed(self, tokens: int) -> None:
        """Adds prompt tokens that an engine computed."""
        self.report.computed_tokens += tokens

    def add_imported(self, tokens: int) -> None:
        """Adds computed tokens whose result a decode got."""
        self.report.imported_tokens += tokens

    def check_engines(self, engines, now: float) -> None:
        """Checks that no engine memory is held for a caller that is gone.

        Args:
            engines: The engine nodes.
            now: The time now.
        """
        for node in engines:
            if not (node.is_alive and node.is_engine_alive):
                continue
            if node.is_paused:
                continue
            since = max(node.woke_at, node.started_at)
            for work_id in node.model.list_work():
                self._check_work(work_id, node.name, since, now)
        self._forget_held(engines)

    def _forget_held(self, engines) -> None:
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
        gone_at = self.gone_at.get(request_id)
        if gone_at is None:
            return
        held_s = now - max(gone_at, since, first_seen_at)
        if held_s > HELD_LIMIT_S + TICK_S:
            self.report.violate(
                "held_after_gone", f"{work_id} at {name} for {held_s:.2f} s"
            )
            del self.gone_at[request_id]


def _read_serial(request_id: str) -> int:
    return int(request_id.rpartition("#")[2])
