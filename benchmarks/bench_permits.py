"""Measures what permits, quotas and the contents of calls cost a gateway.

Run: python benchmarks/bench_permits.py
"""

import time

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import workspaces
from sassafrasstile.permits import _base
from sassafrasstile.permits import _codec

_REPEATS = 20000
_KEY = "i-9a6282e0a9/1790595781714"
_NUMBER = 1790595781714000
_WORKSPACE = "workspace-12"
_COST = 3300
_QUOTA = workspaces.Quota(
    rate_per_s=1e9, burst=1e9, unit=workspaces.QuotaUnit.TOKENS
)
_BODY_SIZES = (100, 65536)
_US_PER_S = 1e6


def print_sizes() -> None:
    """Prints the bytes of each message."""
    news = _base.RateNews(
        key=_KEY, rate_per_s=1.4, sent_age_s=0.5, seen_age_s=0.4
    )
    decision = _base.PermitDecision(wait_s=0.5)
    for message in (
        news,
        _base.PermitRequest(number=_NUMBER, news=news),
        _base.PermitAnswer(number=_NUMBER, decision=decision, news=news),
    ):
        size = len(_codec.encode_message(message))
        print(f"{type(message).__name__}: {size} B")
    quota_news = _base.QuotaNews(key=_WORKSPACE, version=12, quota=_QUOTA)
    for message in (
        _base.PermitRequest(
            number=_NUMBER,
            news=quota_news,
            amounts=_base.Amounts(least=3300.0, needed=3300.0, extra=9000.0),
        ),
        _base.PermitAnswer(number=_NUMBER, decision=decision, news=quota_news),
    ):
        size = len(_codec.encode_message(message))
        print(f"{type(message).__name__} of a quota: {size} B")


def measure_take_us() -> float:
    """Returns the time to hand out a permit, in microseconds."""
    clock = task.Clock()
    limiter = permits.SharedRateLimiter(reactor=clock, name="g")
    stated = permits.StatedRate(rate_per_s=1e6, sent_at=0.0, seen_at=0.0)
    limiter.record(_KEY, stated)
    began = time.perf_counter()
    for _ in range(_REPEATS):
        clock.rightNow += 0.001
        defer.ensureDeferred(limiter.take(_KEY))
    return (time.perf_counter() - began) / _REPEATS * _US_PER_S


def measure_charge_us(*, is_leased: bool) -> float:
    """Returns the time to charge a request, in microseconds.

    Args:
        is_leased: True to charge it to a lease, False to hand its cost out.
    """
    clock = task.Clock()
    limiter = permits.SharedRateLimiter(reactor=clock, name="g")
    keeper = permits.QuotaKeeper(
        reactor=clock,
        exchange=limiter,
        read_quota=lambda _name: permits.StatedQuota(version=1, quota=_QUOTA),
        bounds=permits.QuotaBounds(window_s=8.0, overshoot=0.1, slack=1e10),
    )
    if is_leased:
        account = keeper._find_account(_WORKSPACE)
        account.add_lease(1e12, gateway="h", asked_at=1e6)

    async def charge_often():
        for _ in range(_REPEATS):
            clock.rightNow += 0.001
            await keeper.charge(_WORKSPACE, _COST)

    began = time.perf_counter()
    defer.ensureDeferred(charge_often())
    return (time.perf_counter() - began) / _REPEATS * _US_PER_S


def measure_content_us(body_size: int) -> float:
    """Returns the time to identify a call's content, in microseconds."""
    body = b"x" * body_size
    repeats = _REPEATS // 10
    began = time.perf_counter()
    for _ in range(repeats):
        quarantine.make_call(
            "desk",
            method=b"POST",
            host="a.example",
            target=b"/a/b?c=1",
            caller="",
            body=body,
        )
    return (time.perf_counter() - began) / repeats * _US_PER_S


if __name__ == "__main__":
    print_sizes()
    print(f"permit: {measure_take_us():.0f} us")
    print(f"charge to a lease: {measure_charge_us(is_leased=True):.1f} us")
    print(f"charge, handed out: {measure_charge_us(is_leased=False):.1f} us")
    for body_size in _BODY_SIZES:
        print(f"content, {body_size} B: {measure_content_us(body_size):.0f} us")
