"""The state of one generation request."""

import dataclasses
import enum

from sassafrasstile.gateway import _answer
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _placements


class Phase(enum.Enum):
    """How far a request has come."""

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
        arrived_at: When it came, in kernel time.
        queue_until: Until when it may queue.
        deadline: Until when it must be whole.
        phase: How far it has come.
        phase_until: Until when the phase may last.
        tries: Attempts so far.
        decode: The placement that decodes or will, or None.
        prefill: The placement that prefills, or None.
        asked: Placements asked to resume that haven't answered.
        resumed_from: The attempt that the resumed answer belonged to.
        excluded: Endpoints that failed this request.
        unproved: Prefill attempts that may have run.
    """

    request: _base.GenerationRequest
    answer: _answer.AnswerAssembler = dataclasses.field(
        default_factory=_answer.AnswerAssembler
    )
    arrived_at: float
    queue_until: float
    deadline: float
    phase: Phase = Phase.QUEUED
    phase_until: float = 0.0
    tries: int = 0
    decode: "_placements.Placement[Generation] | None" = None
    prefill: "_placements.Placement[Generation] | None" = None
    asked: "list[_placements.Placement[Generation]]" = dataclasses.field(
        default_factory=list
    )
    resumed_from: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    unproved: set[int] = dataclasses.field(default_factory=set)

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.request.request_id

    @property
    def priority(self) -> int:
        """Lower numbers go first."""
        if self.request.deferred:
            return _base.DEFERRED_PRIORITY
        return _base.INTERACTIVE_PRIORITY

    @property
    def size(self) -> int:
        """Tokens of the prompt and of the output at the most."""
        return self.request.prompt_tokens + self.request.max_tokens

    @property
    def may_have_run(self) -> bool:
        """True when an engine may have worked for this request.

        A caller that comes back may have had work done by a lost gateway.
        """
        return bool(
            self.unproved
            or self.answer.texts
            or self.request.resume_offset is not None
        )

    def rank(self, *, late_before: float) -> tuple[bool, int, float]:
        """Ranks a queued request; lower goes first.

        A request that is late already can't become good any more. It waits
        for what those that can still be good leave over, so that an overload
        makes some requests late and not all of them.

        Args:
            late_before: Requests that came before are late, in kernel time.
        """
        is_late = self.arrived_at < late_before
        return is_late, self.priority, self.arrived_at

    def take_placements(
        self,
    ) -> "list[_placements.Placement[Generation] | None]":
        """Returns all its placements and leaves none."""
        placements = [self.decode, self.prefill, *self.asked]
        self.decode = None
        self.prefill = None
        self.asked.clear()
        return placements
