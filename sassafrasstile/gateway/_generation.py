"""The state of one generation request."""

import dataclasses
import enum

from sassafrasstile.gateway import _answer
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _placements


class Phase(enum.Enum):
    """Processing phase of a generation request."""

    RESUMING = "resuming"
    QUEUED = "queued"
    RESERVING = "reserving"
    PREFILLING = "prefilling"
    DECODING = "decoding"


@dataclasses.dataclass(kw_only=True, eq=False)
class Generation:
    """One generation request in flight.

    Attributes:
        request: The request.
        answer: The answer so far.
        arrived_at: When the request arrived, in kernel time.
        queue_deadline: When it must have left the queue.
        deadline: When the answer must be complete.
        phase: The current phase.
        phase_deadline: When the current phase times out.
        attempt_count: Attempts so far.
        decode: The placement that reserves or decodes, or None.
        prefill: The placement that prefills, or None.
        resume_queries: Placements that were asked for an answer to resume and
            haven't replied.
        resumed_from: The attempt number under which the resumed answer was
            generated before; 0 while the answer isn't a resumed one.
        successor: The placement that may take over from one whose sidecar is
            silent, or None.
        next_search_at: When a successor may be looked for, in kernel time.
        excluded: Names of endpoints that failed this request.
        unproven_prefills: Numbers of prefill attempts that may have run.
    """

    request: _base.GenerationRequest
    answer: _answer.AnswerAssembler = dataclasses.field(
        default_factory=_answer.AnswerAssembler
    )
    arrived_at: float
    queue_deadline: float
    deadline: float
    phase: Phase = Phase.QUEUED
    phase_deadline: float = 0.0
    attempt_count: int = 0
    decode: "_placements.Placement[Generation] | None" = None
    prefill: "_placements.Placement[Generation] | None" = None
    resume_queries: "list[_placements.Placement[Generation]]" = (
        dataclasses.field(default_factory=list)
    )
    resumed_from: int = 0
    successor: "_placements.Placement[Generation] | None" = None
    next_search_at: float = 0.0
    excluded: set[str] = dataclasses.field(default_factory=set)
    unproven_prefills: set[int] = dataclasses.field(default_factory=set)

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.request.request_id

    @property
    def priority(self) -> int:
        """The engine priority; lower numbers go first."""
        if self.request.deferred:
            return _base.DEFERRED_PRIORITY
        return _base.INTERACTIVE_PRIORITY

    @property
    def max_total_tokens(self) -> int:
        """Tokens of the prompt and of the longest possible output."""
        return self.request.prompt_tokens + self.request.max_tokens

    @property
    def may_have_run(self) -> bool:
        """True when an engine may have worked on this request.

        For a caller that resumes, an engine may have worked on behalf of the
        gateway that was lost.
        """
        return bool(
            self.unproven_prefills
            or self.answer.texts
            or self.request.resume_offset is not None
        )

    def make_queue_key(self, *, late_before: float) -> tuple[bool, int, float]:
        """Returns the sort key of a queued request; lower goes first.

        A late request can no longer meet its latency target. It gets only the
        capacity left by requests that still can, so that an overload makes
        some requests late and not all of them.

        Args:
            late_before: Requests that arrived before this time are late, in
                kernel time.
        """
        is_late = self.arrived_at < late_before
        return is_late, self.priority, self.arrived_at

    def find_active_placement(
        self,
    ) -> "_placements.Placement[Generation] | None":
        """Returns the placement that has to answer next, or None."""
        match self.phase:
            case Phase.RESERVING | Phase.DECODING:
                return self.decode
            case Phase.PREFILLING:
                return self.prefill
            case _:
                return None

    def detach_placements(
        self,
    ) -> "list[_placements.Placement[Generation] | None]":
        """Removes and returns the placements that work on the request.

        Queries for an answer to resume stay open.
        """
        placements = [self.decode, self.prefill, self.successor]
        self.decode = None
        self.prefill = None
        self.successor = None
        self.resumed_from = 0
        return placements

    def detach_queries(self) -> "list[_placements.Placement[Generation]]":
        """Removes and returns the queries for an answer to resume."""
        queries = list(self.resume_queries)
        self.resume_queries.clear()
        return queries
