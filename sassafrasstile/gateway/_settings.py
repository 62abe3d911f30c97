"""Settings of the gateway kernel."""

import dataclasses
from typing import Annotated

import annotated_types

Seconds = Annotated[float, annotated_types.Gt(0), annotated_types.Le(3600)]
TokensPerSecond = Annotated[float, annotated_types.Gt(0)]
Count = Annotated[int, annotated_types.Gt(0), annotated_types.Le(1_000_000)]
Share = Annotated[float, annotated_types.Ge(0), annotated_types.Le(1)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway's routing.

    Attributes:
        policy: The registered name of the routing policy.
        subset: Maximum number of endpoints of one role and model that a
            gateway links to. Links to services aren't limited, since a key
            has one owner.
        lease_s: Seconds from the sending of a gateway's last batch until its
            lease at a sidecar expires. After a suspension at least this long,
            a gateway requeues the requests that weren't decoding.
        renew_s: Seconds between renewals of leases.
        silence_s: Seconds without a message after a renewal until a sidecar
            gets no new work and other endpoints are asked to take over what
            it holds. Its link is closed once it holds nothing, or after
            `lease_s` of silence.
        reserve_limit_s: Seconds until another endpoint is asked for a
            reservation too. The first one times out `lease_s` later.
        prefill_limit_s: Seconds until a prefill times out.
        decode_limit_s: Seconds between pieces until a decode times out.
        transfer_base_s: Seconds allowed for any KV transfer, whatever its
            size.
        transfer_token_rate: Minimum rate of a link in tokens per second. The
            tokens to transfer, divided by this rate, extend the transfer's
            time limit.
        resume_wait_s: Seconds to search for a partial answer to resume before
            the request is started from its prompt. A partial answer that is
            found before the new attempt has one is still used.
        interactive_limit_s: Seconds until an interactive request times out.
        deferred_limit_s: Seconds until a deferred request times out.
        interactive_queue_s: Maximum seconds in the queue for an interactive
            request.
        deferred_queue_s: Maximum seconds in the queue for a deferred request.
        late_after_s: Seconds after which a queued request can no longer meet
            the first-token target and gets a lower priority.
        queue_limit: Maximum number of requests in the queue.
        workspace_limit: Maximum number of requests of one workspace in
            flight.
        retry_share: Retries allowed, as a share of recent requests.
        retry_reserve: Retries allowed when there were no recent requests.
        tries: Maximum number of attempts at one request.
        full_pause_s: Seconds for which an endpoint that refused work, for
            example for lack of memory, gets no new work unless it reports
            free slots earlier.
        owner_pause_s: Backoff in seconds when endpoints disagree on which of
            them owns an idempotency key.
        failed_pause_s: Seconds for which an endpoint that failed is avoided
            while there are others.
        retry_after_s: Seconds after which a refused caller is told to retry.
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
    transfer_token_rate: TokensPerSecond = 2000.0
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
