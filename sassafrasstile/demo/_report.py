"""The figures of a demo run."""

import dataclasses

from sassafrasstile import telemetry


@dataclasses.dataclass(kw_only=True)
class DemoReport:
    """The figures of a run, as seen by the callers and the engines.

    Attributes:
        accepted: Requests that weren't refused as not run.
        complete: Requests with the complete, correct answer.
        refused_not_run: Refusals with the verdict not run.
        may_have_run: Refusals with the verdict may have run.
        executed_twice: Keys that a service ran more than once.
        not_run_but_ran: Keys refused as not run that a service has run.
        wrong_answers: Answers that were incomplete or had the wrong text.
        held_after_gone: Requests that hold engine memory after every caller
            has disconnected.
        first_token_s: Times to the first token.
        per_token_s: Mean times per token after the first one, by request.
        computed_prefill_tokens: Prompt tokens that the engines computed.
        wasted_prefill_tokens: Tokens computed again, or for results that no
            decode fetched.
    """

    accepted: int = 0
    complete: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    executed_twice: int = 0
    not_run_but_ran: int = 0
    wrong_answers: int = 0
    held_after_gone: int = 0
    first_token_s: list[float] = dataclasses.field(default_factory=list)
    per_token_s: list[float] = dataclasses.field(default_factory=list)
    computed_prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0

    def has_passed(self) -> bool:
        """Returns whether requests completed and no guarantee was violated."""
        violations = (
            self.executed_twice
            + self.not_run_but_ran
            + self.wrong_answers
            + self.held_after_gone
        )
        return violations == 0 and self.complete > 0

    def summarize(self) -> dict[str, float | int | bool]:
        """Returns the figures by name."""
        figures: dict[str, float | int | bool] = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
            if not field.name.endswith("_s")
        }
        figures["first_token_p50_s"] = telemetry.compute_percentile(
            self.first_token_s, 50
        )
        figures["first_token_p95_s"] = telemetry.compute_percentile(
            self.first_token_s, 95
        )
        figures["per_token_p50_s"] = telemetry.compute_percentile(
            self.per_token_s, 50
        )
        figures["per_token_p95_s"] = telemetry.compute_percentile(
            self.per_token_s, 95
        )
        figures["invariants_held"] = self.has_passed()
        return figures

    def render(self) -> str:
        """Returns the figures as a table."""
        rows = self.summarize()
        width = max(len(name) for name in rows)
        return "\n".join(
            f"{name.ljust(width)}  {_render_value(value)}"
            for name, value in rows.items()
        )


def _render_value(value: float | int | bool) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.4f}" if isinstance(value, float) else str(value)
