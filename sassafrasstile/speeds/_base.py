"""Kinds of work and observations of it."""

import dataclasses
import enum


class Kind(enum.Enum):
    """The kinds of work whose duration is learned.

    The duration of each grows with an amount of work, whose unit differs.
    """

    # Work: prompt tokens, those queued before included.
    PREFILL = "prefill"
    # From the admission to the first event, where a prefill engine prefills.
    # Work: prompt tokens, those queued before included.
    ADMISSION = "admission"
    # From the send to a decode engine that prefills itself to the first event.
    # Work: prompt tokens.
    LOCAL_PREFILL = "local prefill"
    # One decode step. Work: requests in flight.
    STEP = "step"
    # Work: requests in flight for each slot, at least one.
    CALL = "call"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """How long a piece of work took.

    Attributes:
        kind: The kind of work.
        work: The amount of work, in the unit of its kind.
        seconds: How long it took.
    """

    kind: Kind
    work: float
    seconds: float
