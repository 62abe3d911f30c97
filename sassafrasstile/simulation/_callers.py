"""Callers that send requests, time out and retry."""

import dataclasses
import math
import random

from twisted.internet import defer

from sassafrasstile.simulation import _base
from sassafrasstile.simulation import _gateways
from sassafrasstile.simulation import _patterns
from sassafrasstile.simulation import _profiles

# Callers disconnect if the first event takes longer than this many targets.
_FIRST_EVENT_TIMEOUT_TARGETS = 4.0
# Refused callers retry after one to two times this delay.
_RETRY_DELAY_S = 0.5
# Upper limit of that delay, as a share of the time left to the deadline.
_MAX_RETRY_DELAY_SHARE = 1 / 3
_IMMEDIATE_RETRY_S = 0.01


@dataclasses.dataclass(kw_only=True, eq=False)
class RequestOutcome:
    """The outcome of a caller's request over all its attempts.

    Attributes:
        arrived_at: Time of the first attempt, in seconds.
        prompt_id: Identifies the prompt.
        prompt_tokens: Length of the prompt.
        output_tokens: Length that the output will have.
        target_s: Target for the time to the first token.
        rank: Its rank; 0 is the most urgent.
        attempts: Number of attempts.
        refusals: Number of refused attempts.
        is_complete: True once the caller has the complete answer.
        first_event_s: Seconds to the first event, or None.
        longest_gap_s: The longest time between two events.
    """

    arrived_at: float
    prompt_id: str
    prompt_tokens: int
    output_tokens: int
    target_s: float
    rank: int = 0
    attempts: int = 0
    refusals: int = 0
    is_complete: bool = False
    first_event_s: float | None = None
    longest_gap_s: float = 0.0


class Callers:
    """All callers of a site.

    Args:
        reactor: The reactor.
        profile: The site.
        pattern: The load or fault pattern.
        rate_per_s: Arrival rate of requests.
        gateways: The gateways to which the requests go.
        arrivals: Random generator of arrival times and sizes. It is used for
            nothing else, so that all policies get the same requests.
        behaviour: Random generator of everything else that callers do.
    """

    def __init__(
        self,
        *,
        reactor,
        profile: _profiles.SiteProfile,
        pattern: _patterns.Pattern,
        rate_per_s: float,
        gateways: list[_gateways.Gateway],
        arrivals: random.Random,
        behaviour: random.Random,
    ):
        self._reactor = reactor
        self._profile = profile
        self._pattern = pattern
        self._rate_per_s = rate_per_s
        self._gateways = gateways
        self._arrivals = arrivals
        self._behaviour = behaviour
        self.outcomes: list[RequestOutcome] = []

    def start(self, until: float) -> None:
        """Sends requests until a time."""
        self._schedule_next(until)

    def _schedule_next(self, until: float) -> None:
        now = self._reactor.seconds()
        rate = self._rate_per_s
        match self._pattern:
            case (
                _patterns.Burst(factor=factor)
                | _patterns.UrgentBurst(factor=factor)
            ) if self._pattern.is_active(now):
                rate *= factor
            case _patterns.Wave(swing=swing, period_s=period_s):
                rate *= 1 + swing * math.sin(2 * math.pi * now / period_s)
        delay_s = self._arrivals.expovariate(rate)
        if now + delay_s < until:
            self._reactor.callLater(delay_s, self._start_request, until)

    def _start_request(self, until: float) -> None:
        self._schedule_next(until)
        now = self._reactor.seconds()
        gateway = self._choose_fixed_gateway(now)
        rank = self._choose_rank(is_urgent=gateway is not None)
        outcome = RequestOutcome(
            arrived_at=now,
            prompt_id=f"p{len(self.outcomes)}",
            prompt_tokens=self._sample_prompt(now),
            output_tokens=self._sample_output(),
            target_s=rank.target_s,
            rank=rank.rank,
        )
        self.outcomes.append(outcome)
        running = defer.ensureDeferred(self._run_request(outcome, gateway))
        running.addErrback(lambda reason: reason.trap(defer.CancelledError))

    def _choose_fixed_gateway(self, now: float) -> _gateways.Gateway | None:
        """Returns the gateway of a burst, for the part of it that is added."""
        match self._pattern:
            case _patterns.UrgentBurst(factor=factor) if (
                self._pattern.is_active(now)
                and self._behaviour.random() < 1 - 1 / factor
            ):
                return self._gateways[0]
        return None

    def _choose_rank(self, *, is_urgent: bool) -> _profiles.RankProfile:
        ranks = self._profile.ranks
        if not ranks:
            return _profiles.RankProfile(
                rank=0, share=1.0, target_s=self._profile.target_s
            )
        if is_urgent:
            return ranks[0]
        weights = [item.share for item in ranks]
        return self._behaviour.choices(ranks, weights)[0]

    async def _run_request(
        self, outcome: RequestOutcome, gateway: _gateways.Gateway | None
    ) -> None:
        profile = self._profile
        retries_immediately, attempts = self._choose_retry_behaviour(
            outcome.arrived_at
        )
        deadline = outcome.arrived_at + profile.deadline_s
        while outcome.attempts < attempts:
            outcome.attempts += 1
            attempt = _base.RequestAttempt(
                request_id=f"r{len(self.outcomes)}.{outcome.attempts}",
                prompt_id=outcome.prompt_id,
                prompt_tokens=outcome.prompt_tokens,
                output_tokens=outcome.output_tokens,
                declared_tokens=profile.max_output_tokens,
                arrived_at=self._reactor.seconds(),
                deadline=deadline,
                target_s=outcome.target_s,
                rank=outcome.rank,
            )
            if await self._send(outcome, attempt, deadline, gateway):
                return
            remaining_s = deadline - self._reactor.seconds()
            wait_s = _RETRY_DELAY_S * (1 + self._behaviour.random())
            wait_s = (
                0.01
                if retries_immediately
                else min(wait_s, _MAX_RETRY_DELAY_SHARE * remaining_s)
            )
            await self._sleep(wait_s)

    async def _send(
        self,
        outcome: RequestOutcome,
        attempt: _base.RequestAttempt,
        deadline: float,
        gateway: _gateways.Gateway | None,
    ) -> bool:
        """Sends one attempt.

        Returns:
            False if the attempt was refused.
        """
        gateway = gateway or self._choose_gateway()
        serving = defer.ensureDeferred(gateway.serve(attempt))
        remaining_s = deadline - self._reactor.seconds()
        timeouts = [
            self._reactor.callLater(max(0.0, remaining_s), serving.cancel),
            self._reactor.callLater(
                _FIRST_EVENT_TIMEOUT_TARGETS * outcome.target_s,
                lambda: attempt.first_event_at or serving.cancel(),
            ),
        ]
        try:
            served = await serving
        except defer.CancelledError:
            return True
        finally:
            for call in timeouts:
                if call.active():
                    call.cancel()
        if not served:
            outcome.refusals += 1
            return False
        outcome.is_complete = True
        outcome.first_event_s = attempt.first_event_at - outcome.arrived_at
        outcome.longest_gap_s = attempt.longest_gap_s
        return True

    def _choose_gateway(self) -> _gateways.Gateway:
        candidates = self._gateways
        now = self._reactor.seconds()
        match self._pattern:
            case _patterns.OneZone(share=share) if (
                self._pattern.is_active(now)
                and self._behaviour.random() < share
            ):
                zone = self._profile.zones[0]
                candidates = [item for item in candidates if item.zone == zone]
        return self._behaviour.choice(candidates)

    def _choose_retry_behaviour(self, now: float) -> tuple[bool, int]:
        """Returns whether to retry immediately, and the attempts allowed."""
        match self._pattern:
            case _patterns.ImmediateRetries(share=share, retries=retries) if (
                self._pattern.is_active(now)
                and self._behaviour.random() < share
            ):
                return True, 1 + retries
        return False, 2

    def _sample_prompt(self, now: float) -> int:
        profile = self._profile
        mean = profile.prompt_tokens
        match self._pattern:
            case _patterns.LongPrompts(factor=factor) if (
                self._pattern.is_active(now)
            ):
                mean *= factor
        return self._sample_tokens(
            mean, profile.prompt_sigma, profile.max_prompt_tokens
        )

    def _sample_output(self) -> int:
        profile = self._profile
        return self._sample_tokens(
            profile.output_tokens,
            profile.output_sigma,
            profile.max_output_tokens,
        )

    def _sample_tokens(self, mean: float, sigma: float, max_tokens: int) -> int:
        """Samples a number of tokens from a log-normal distribution."""
        mu = math.log(mean) - sigma**2 / 2
        size = self._arrivals.lognormvariate(mu, sigma)
        return max(8, min(max_tokens, round(size)))

    def _sleep(self, seconds: float) -> defer.Deferred:
        waiting: defer.Deferred = defer.Deferred()
        self._reactor.callLater(max(0.0, seconds), waiting.callback, None)
        return waiting
