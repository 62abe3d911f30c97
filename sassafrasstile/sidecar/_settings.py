"""Settings of the sidecar kernels."""

import dataclasses
from typing import Annotated

import annotated_types

Seconds = Annotated[float, annotated_types.Gt(0), annotated_types.Le(3600)]
Count = Annotated[int, annotated_types.Gt(0), annotated_types.Le(10_000_000)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseSettings:
    """How long a silent gateway keeps its holds.

    Attributes:
        lease_s: Seconds from the sending of a gateway's last batch until its
            holds are released.
        renew_s: Seconds between renewals.
        retain_s: Seconds that a finished answer is kept for a caller that
            retries through another gateway.
    """

    __pydantic_config__ = {"extra": "forbid"}

    lease_s: Seconds = 2.5
    renew_s: Seconds = 0.8
    retain_s: Seconds = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLimits:
    """Capacity of a model engine.

    Attributes:
        slots: Maximum number of concurrent requests.
        prefills: Maximum number of concurrent prefills at a prefill
            endpoint. An engine computes one after the other, so more would
            only queue there, where no gateway can reorder or move them.
        pieces: Number of fixed-size pieces of memory.
        tokens_per_piece: Tokens that fit into one piece.
        prefill_ttl_s: Seconds after which a finished prefill is evicted.
    """

    __pydantic_config__ = {"extra": "forbid"}

    slots: Count = 20
    prefills: Count = 2
    pieces: Count = 4096
    tokens_per_piece: Count = 16
    prefill_ttl_s: Seconds = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSettings:
    """How calls that may not be repeated are claimed in the log.

    Attributes:
        claim_wait_s: Seconds to wait for a claim, after which the log is
            considered down for this call.
        append_again_s: Seconds after a failed append until the next one.
        unlogged_limit_s: Seconds without a page of the log after which
            calls no longer run without a claim.
        key_lifetime_s: Seconds for which callers may retry a key. The log
            must keep records for at least twice as long.
        checkpoint_s: Seconds between checkpoints.
        leave_wait_s: Seconds without a page of the log after which a planned
            stop no longer waits to release its slots.
        claims_per_record: Maximum number of keys in one record.
    """

    __pydantic_config__ = {"extra": "forbid"}

    claim_wait_s: Seconds = 1.0
    append_again_s: Seconds = 0.3
    unlogged_limit_s: Seconds = 1800.0
    key_lifetime_s: Seconds = 1800.0
    checkpoint_s: Seconds = 600.0
    leave_wait_s: Seconds = 10.0
    claims_per_record: Count = 200
