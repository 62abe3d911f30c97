"""Settings of the gateway kernel."""

import dataclasses
from typing import Annotated

import annotated_types

Seconds = Annotated[float, annotated_types.Gt(0), annotated_types.Le(3600)]
Count = Annotated[int, annotated_types.Gt(0), annotated_types.Le(1_000_000)]
Share = Annotated[float, annotated_types.Ge(0), annotated_types.Le(1)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """How a gateway routes.

    Attributes:
        policy: The registered name of the routing policy.
        subset: Endpoints of one role and model that a gateway links to at
            the most. Links to services aren't limited, since a key has one
            owner.
        lease_s: Seconds after which a silent gateway loses its holds.
        renew_s: Seconds between renewals of leases.
        silence_s: Seconds without a word from a sidecar that holds work of
            this gateway until its link counts as broken.
        silence_s: Seconds = 2.0
    reserve_limit_s: Seconds to wait for a reservation.
        prefill_limit_s: Seconds to wait for a prefill.
        decode_limit_s: Seconds between pieces until a decode is given up.
        transfer_base_s: Seconds that any transfer may take.
        transfer_token_rate: Tokens a second that a link carries at least;
            a transfer's limit grows with its size by this rate.
        resume_wait_s: Seconds to look for the answer of a lost gateway.
        interactive_limit_s: Seconds until an interactive request must be
            whole.
        deferred_limit_s: The same for requests that can wait.
        interactive_queue_s: Seconds that an interactive request may queue.
        deferred_queue_s: The same for requests that can wait.
        late_after_s: Seconds after which a queued request can't meet the
            first-token target any more and lets others go first.
        queue_limit: Requests that may queue.
        workspace_limit: Requests of one workspace at once.
        retry_share: Retries allowed, as a share of recent requests.
        retry_reserve: Retries allowed when there were no recent requests.
        tries: Attempts at one request at the most.
        full_pause_s: Seconds for which an endpoint that refused for want of
            memory isn't asked again unless it reports room.
        owner_pause_s: Seconds to wait when endpoints disagree on who owns
            an idempotency key.
        owner_pause_s: Seconds = 0.25
    failed_pause_s: Seconds for which an endpoint that failed is avoided
            while there are others.
        retry_after_s: What a refused caller is told to wait.
    """

    __pydantic_config__ = {"extra": "forbid"}

    policy: str = "two_choices"
    subset: Count = 40
    lease_s: Seconds = 2.5
    renew_s: Seconds = 0.8
    silence_s: Seconds = 2.0
    reserve_limit_s: Seconds = 1.0
    prefill_limit_s: Seconds = 20.0
    decode_limit_s: Seconds = 5.0
    transfer_base_s: Seconds = 0.5
    transfer_token_rate: Seconds = 2000.0
    resume_wait_s: Seconds = 0.5
    interactive_limit_s: Seconds = 30.0
    deferred_limit_s: Seconds = 120.0
    interactive_queue_s: Seconds = 2.0
    deferred_queue_s: Seconds = 60.0
    late_after_s: Seconds = 0.5
    queue_limit: Count = 500
    workspace_limit: Count = 200
    retry_share: Share = 0.2
    retry_reserve: Count = 40
    tries: Count = 4
    full_pause_s: Seconds = 0.1
    owner_pause_s: Seconds = 0.25
    failed_pause_s: Seconds = 2.0
    retry_after_s: Seconds = 2.0
