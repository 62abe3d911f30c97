"""Decides which requests a stopping gateway still takes."""

import logging

from sassafrasstile import durations
from sassafrasstile import gateway
from sassafrasstile import settings

_LOG = logging.getLogger("sassafrasstile.daemon")
# A refused caller finds another gateway after this time at the earliest.
_MIN_RETRY_AFTER_S = 1.0

Request = (
    gateway.GenerationRequest | gateway.CallRequest | gateway.InquiryRequest
)


class PlannedStop:
    """The stop of a gateway, from its signal on.

    Args:
        name: The gateway's name.
        reactor: The reactor, used as the clock.
        times: The times of a stop.
        routing: The gateway's settings, for the limits of requests.
        estimate: Estimates how long requests take.
    """

    def __init__(
        self,
        *,
        name: str,
        reactor,
        times: settings.StopSettings,
        routing: gateway.GatewaySettings,
        estimate: durations.DurationEstimate,
    ):
        self._name = name
        self._reactor = reactor
        self._routing = routing
        self._estimate = estimate
        self._began_at = reactor.seconds()
        self._notice_ends_at = self._began_at + times.notice_s
        self._ends_at = self._notice_ends_at + times.grace_s

    def accepts(self, request: Request) -> bool:
        """Returns whether a request that arrives now is taken.

        It is while the balancer may not have noticed the stop, if it will have
        ended in time.
        """
        now = self._reactor.seconds()
        expected_s = self._expect_s(request)
        left_s = self._ends_at - now
        accepted = now < self._notice_ends_at and expected_s <= left_s
        _LOG.info(
            "daemon: gateway %s: request %s: %s while stopping. Reason: it may "
            "take %.1f s of %.1f s, and arrived %.1f s after the signal.",
            self._name,
            request.request_id,
            "accepted" if accepted else "refused",
            expected_s,
            left_s,
            now - self._began_at,
        )
        return accepted

    def choose_retry_after_s(self) -> float:
        """Returns after how long callers no longer come to this gateway."""
        left_s = self._notice_ends_at - self._reactor.seconds()
        return max(_MIN_RETRY_AFTER_S, left_s)

    def _expect_s(self, request: Request) -> float:
        tokens = 0
        match request:
            case gateway.GenerationRequest():
                target = request.model
                tokens = request.max_tokens - (request.resume_offset or 0)
                limit_s = self._routing.interactive_limit_s
                if request.deferred:
                    limit_s = self._routing.deferred_limit_s
            case _:
                target = request.service
                limit_s = request.limit_s
        return self._estimate.estimate_s(target, tokens=tokens, limit_s=limit_s)
