"""Holds: engine memory and state that a sidecar keeps for attempts."""

import dataclasses
import enum

from sassafrasstile import messages
from sassafrasstile.sidecar import _base


class Phase(enum.Enum):
    """The phase of a hold."""

    WAITING = "waiting"
    RESERVED = "reserved"
    PREFILLING = "prefilling"
    PREFILLED = "prefilled"
    DECODING = "decoding"
    FINISHED = "finished"
    RELEASING = "releasing"


MEMORY_PHASES = frozenset(
    {
        Phase.RESERVED,
        Phase.PREFILLING,
        Phase.PREFILLED,
        Phase.DECODING,
        Phase.RELEASING,
    }
)
ENGINE_PHASES = frozenset(
    {Phase.PREFILLING, Phase.PREFILLED, Phase.DECODING, Phase.RELEASING}
)


@dataclasses.dataclass(kw_only=True)
class Hold:
    """The engine memory and answer kept for one attempt.

    Attributes:
        work_id: Identifies the work in calls to the engine.
        request_id: The request.
        attempt_id: The attempt to which the hold belongs.
        phase: The current phase.
        pieces: Pieces of engine memory.
        priority: Lower numbers go first.
        phase_deadline: When the phase expires or, while releasing, the
            cancellation is sent again. Kernel time, or None.
        texts: The tokens of the answer so far, decode only.
        tokens: The length of the complete answer, once finished.
        reason: Why the decode finished.
    """

    work_id: str
    request_id: str
    attempt_id: _base.AttemptId
    phase: Phase
    pieces: int
    priority: int = 0
    phase_deadline: float | None = None
    texts: list[str] = dataclasses.field(default_factory=list)
    tokens: int = 0
    reason: str = ""


def make_hold(attempt_id: _base.AttemptId, request_id: str, **fields) -> Hold:
    """Creates the hold of an attempt.

    Args:
        attempt_id: The attempt.
        request_id: The request.
        **fields: The other fields of the hold.
    """
    work_id = f"{request_id}.{attempt_id.incarnation}.{attempt_id.attempt}"
    return Hold(
        work_id=work_id, request_id=request_id, attempt_id=attempt_id, **fields
    )


class HoldTable:
    """The holds of one engine and the memory that they use.

    Args:
        slots: Maximum number of holds with memory.
        pieces: Maximum number of pieces of memory in use.
    """

    def __init__(self, *, slots: int, pieces: int):
        self.slots = slots
        self.pieces = pieces
        self.holds: dict[str, Hold] = {}

    def add(self, hold: Hold) -> None:
        """Adds a hold."""
        self.holds[hold.work_id] = hold

    def remove(self, work_id: str) -> None:
        """Removes a hold if it exists."""
        self.holds.pop(work_id, None)

    def count_slots(self) -> int:
        """Returns the number of slots in use."""
        return sum(1 for hold in self.holds.values() if _has_memory(hold))

    def count_prefills(self) -> int:
        """Returns the number of prefills started and not finished."""
        return sum(
            1 for hold in self.holds.values() if hold.phase is Phase.PREFILLING
        )

    def count_pieces(self) -> int:
        """Returns the number of pieces in use."""
        return sum(
            hold.pieces for hold in self.holds.values() if _has_memory(hold)
        )

    def fits(self, pieces: int) -> bool:
        """Returns whether a request of this many pieces fits now."""
        if self.count_slots() >= self.slots:
            return False
        return self.count_pieces() + pieces <= self.pieces

    def is_idle(self) -> bool:
        """Returns whether every hold is finished."""
        return all(hold.phase is Phase.FINISHED for hold in self.holds.values())

    def list_held(self) -> list[str]:
        """Returns the sorted ids of the work that has engine memory."""
        return sorted(
            hold.work_id for hold in self.holds.values() if _has_memory(hold)
        )

    def find(self, attempt_id: _base.AttemptId) -> Hold | None:
        """Returns the hold of an attempt, or None."""
        for hold in self.holds.values():
            if hold.attempt_id == attempt_id:
                return hold
        return None

    def find_answer(self, request_id: str) -> Hold | None:
        """Returns the newest hold with a request's answer, or None."""
        found = None
        for hold in self.holds.values():
            if hold.request_id != request_id:
                continue
            if hold.phase in (Phase.DECODING, Phase.FINISHED):
                found = hold
        return found

    def list_waiting(self) -> list[Hold]:
        """Returns the holds that wait for memory, in the order of service."""
        waiting = [
            hold for hold in self.holds.values() if hold.phase is Phase.WAITING
        ]
        waiting.sort(key=lambda hold: hold.priority)
        return waiting


def _has_memory(hold: Hold) -> bool:
    return hold.phase in MEMORY_PHASES


def count_needed_pieces(tokens: int, *, tokens_per_piece: int) -> int:
    """Returns the number of pieces that a number of tokens needs."""
    return max(1, -(-tokens // tokens_per_piece))


def make_attempt_id(
    *, sender: str, incarnation: str, message: messages.Attempted
) -> _base.AttemptId:
    """Returns the identity of the attempt that a message belongs to."""
    return _base.AttemptId(
        gateway=sender, incarnation=incarnation, attempt=message.attempt
    )
