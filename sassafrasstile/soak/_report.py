"""The figures of a soak run."""

import dataclasses
import hashlib

from sassafrasstile import telemetry


@dataclasses.dataclass(kw_only=True)
class SoakReport:
    """The results of a run.

    Attributes:
        requests: Requests of callers, retries not counted.
        accepted: Requests that weren't refused as not run.
        complete: Requests with a complete answer.
        refused_not_run: Requests whose final verdict was not run.
        may_have_run: Requests whose final verdict was may have run.
        cancelled: Requests whose caller disconnected.
        executed_twice: Repeated executions of calls with the same key.
        answered_twice: Responses after the end of an exchange.
        not_run_but_ran: Refusals as not run of work that ran.
        incomplete: Answers that were wrong or incomplete, and exchanges that
            timed out without an answer.
        held_after_gone: Cases of engine memory held too long after the
            request had ended.
        new_work_while_leaving: Work started at an endpoint that had been
            draining for too long.
        cut_off: Requests interrupted by a planned stop.
        good: Generation requests completed within both targets.
        generations: Generation requests sent.
        computed_tokens: Prompt tokens computed by the engines.
        imported_tokens: Those of them that a decode engine imported.
        violations: One line for each violated invariant.
        first_token_s: Times to the first token.
    """

    requests: int = 0
    accepted: int = 0
    complete: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    cancelled: int = 0
    executed_twice: int = 0
    answered_twice: int = 0
    not_run_but_ran: int = 0
    incomplete: int = 0
    held_after_gone: int = 0
    new_work_while_leaving: int = 0
    cut_off: int = 0
    good: int = 0
    generations: int = 0
    computed_tokens: int = 0
    imported_tokens: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)
    first_token_s: list[float] = dataclasses.field(default_factory=list)
    _digest: "hashlib._Hash" = dataclasses.field(
        default_factory=lambda: hashlib.blake2b(digest_size=8), repr=False
    )

    def record_outcome(self, line: str) -> None:
        """Adds an outcome to the digest of the run."""
        self._digest.update(line.encode())

    def record_violation(self, name: str, detail: str) -> None:
        """Records and counts a violated invariant."""
        if hasattr(self, name):
            setattr(self, name, getattr(self, name) + 1)
        self.violations.append(f"{name}: {detail}")

    def summarize(self) -> dict:
        """Returns the figures by name."""
        figures = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if field.name not in ("_digest", "first_token_s")
        }
        wasted = self.computed_tokens - self.imported_tokens
        figures["goodput"] = round(self.good / max(1, self.generations), 4)
        figures["wasted_prefill"] = round(
            wasted / max(1, self.computed_tokens), 4
        )
        figures["first_token_p95_s"] = round(
            telemetry.compute_percentile(self.first_token_s, 95), 4
        )
        figures["digest"] = self._digest.hexdigest()
        return figures
