"""Settings of the sidecar kernels."""

import dataclasses
from typing import Annotated

import annotated_types

Seconds = Annotated[float, annotated_types.Gt(0), annotated_types.Le(3600)]
Count = Annotated[int, annotated_types.Gt(0), annotated_types.Le(10_000_000)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseSettings:
    """How long a silent gateway keeps what it holds.

    Attributes:
        lease_s: Seconds from the last renewal until holds are released.
        renew_s: Seconds between renewals.
        retain_s: Seconds that a finished answer is kept for a caller that
            comes back through another gateway.
    """

    __pydantic_config__ = {"extra": "forbid"}

    lease_s: Seconds = 2.5
    renew_s: Seconds = 0.8
    retain_s: Seconds = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLimits:
    """What a model engine holds at once.

    Attributes:
        slots: Requests at the most.
        pieces: Fixed-size pieces of memory.
        tokens_per_piece: Tokens that fit into one piece.
        prefill_ttl_s: Seconds after which a finished prefill is evicted.
    """

    __pydantic_config__ = {"extra": "forbid"}

    slots: Count = 20
    pieces: Count = 4096
    tokens_per_piece: Count = 16
    prefill_ttl_s: Seconds = 0.8
