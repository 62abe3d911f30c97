"""Keeps the rates of endpoints together with the other gateways."""

import logging

from sassafrasstile import peers
from sassafrasstile.permits import _base
from sassafrasstile.permits import _codec
from sassafrasstile.permits import _exchange
from sassafrasstile.permits import _limits
from sassafrasstile.permits import _rates

_LOG = logging.getLogger("sassafrasstile.permits")
# Gateways that are asked one after the other if the first is silent.
_MAX_ASKED = 2
# Nothing is sent to an endpoint for this long if no gateway answers.
_UNANSWERED_WAIT_S = 0.5


class SharedRateLimiter(_exchange.PermitExchange):
    """Keeps the rates that endpoints name, together with the other gateways.

    For each such endpoint one gateway hands out a permit for each request.
    Which one follows from the endpoint's key and the gateways that are heard
    of. The others ask it before they send, so all of the rate can be used
    wherever the callers are.

    Args:
        reactor: The reactor.
        name: This gateway's name.
        transport: Sends to the other gateways.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        transport: peers.Transport | None = None,
    ):
        super().__init__(reactor=reactor, name=name, transport=transport)
        self._book = _rates.RateBook()
        self.add_source(_base.RateNews, self)

    def get_rate(self, key: str) -> float | None:
        """Returns the rate a second that an endpoint names, or None."""
        return self._book.get_rate(key)

    def count_named(self) -> int:
        """Returns the number of endpoints that name a rate."""
        return len(self._book.list_named())

    def record(self, key: str, stated: _base.StatedRate) -> None:
        """Records what an answer to this gateway says, and tells the others.

        Args:
            key: The key of the endpoint's incarnation.
            stated: What the answer says.
        """
        if self._update(key, stated, source=self.name):
            payload = _codec.encode_message(self.describe(key))
            self._messenger.send_twice(
                list(self.transport.list_zones()), payload
            )

    def tell(self, name: str) -> None:
        """Tells another gateway, which may have started, what is known."""
        for key in self._book.list_named():
            payload = _codec.encode_message(self.describe(key))
            self._messenger.send([name], payload)

    async def take(self, key: str) -> _base.PermitDecision:
        """Takes a permit to send one request to an endpoint.

        It is granted at once if the endpoint names no rate.

        Args:
            key: The key of the endpoint's incarnation.
        """
        for name in self._rank(key)[:_MAX_ASKED]:
            if self._book.get_rate(key) is None:
                return _base.PermitDecision()
            if name == self.name:
                return self._allocate(key)
            decision = await self.ask(name, self.describe(key))
            if decision is not None:
                return decision
        return _base.PermitDecision(wait_s=_UNANSWERED_WAIT_S)

    def allocate(
        self, request: _base.PermitRequest
    ) -> _base.PermitDecision | None:
        """Hands out a permit for an endpoint that is known to name a rate."""
        if self._book.find(request.news.key) is None:
            return None
        return self._allocate(request.news.key)

    def _allocate(self, key: str) -> _base.PermitDecision:
        rate_per_s = self._book.get_rate(key)
        if rate_per_s is None:
            return _base.PermitDecision()
        limit = _limits.make_permit_limit(
            rate_per_s * self._measure_live_share()
        )
        return self.allocator.take(key, limit=limit, now=self._now())

    def _measure_live_share(self) -> float:
        """Returns the share of the gateways that are heard of.

        Those that aren't may have lost this gateway, and choose another one to
        hand out permits.
        """
        known = 1 + len(self.transport.list_zones())
        return min(1.0, (1 + len(self.transport.list_live())) / known)

    def describe(self, key: str) -> _base.RateNews:
        """Returns what is known about an endpoint's rate."""
        now = self._now()
        stated = self._book.find(key)
        return _base.RateNews(
            key=key,
            rate_per_s=stated.rate_per_s,
            sent_age_s=min(_base.MAX_AGE_S, now - stated.sent_at),
            seen_age_s=min(_base.MAX_AGE_S, now - stated.seen_at),
        )

    def apply(self, sender: str, news: _base.RateNews) -> None:
        """Learns what another gateway knows about an endpoint's rate."""
        now = self._now()
        stated = _base.StatedRate(
            rate_per_s=news.rate_per_s,
            sent_at=now - news.sent_age_s,
            seen_at=now - news.seen_age_s,
        )
        self._update(news.key, stated, source=sender)

    def take_back(self, message: _base.PermitReturn) -> None:
        """Ignores a permit that wasn't used; the next one is due soon."""

    def receive_late(self, sender: str, answer: _base.PermitAnswer) -> None:
        """Ignores a permit that was granted too late."""

    def _update(
        self, key: str, stated: _base.StatedRate, *, source: str
    ) -> bool:
        is_changed = self._book.update(key, stated)
        if is_changed and self.log_bucket.take(1, self._now()):
            if stated.rate_per_s is None:
                outcome = "names no rate any more"
            else:
                outcome = f"takes {stated.rate_per_s:g} requests a second"
            _LOG.info(
                "permit: endpoint %s %s.",
                key,
                outcome,
                extra={
                    "endpoint": key,
                    "rate_per_s": stated.rate_per_s,
                    "source": source,
                    "age_s": round(self._now() - stated.seen_at, 3),
                },
            )
        return is_changed
