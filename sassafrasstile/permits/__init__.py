"""What all gateways together may use: rates of endpoints, and quotas."""

from sassafrasstile.permits._allocator import PermitAllocator
from sassafrasstile.permits._base import (
    PermitDecision,
    StatedRate,
    make_key,
)
from sassafrasstile.permits._codec import is_message
from sassafrasstile.permits._limiter import SharedRateLimiter
from sassafrasstile.permits._limits import Limit
from sassafrasstile.permits._quotas import (
    QuotaCharge,
    QuotaDecision,
    QuotaKeeper,
    StatedQuota,
)
from sassafrasstile.permits._rates import RateBook
from sassafrasstile.permits._terms import QuotaBounds

__all__ = [
    "Limit",
    "PermitAllocator",
    "PermitDecision",
    "QuotaBounds",
    "QuotaCharge",
    "QuotaDecision",
    "QuotaKeeper",
    "RateBook",
    "SharedRateLimiter",
    "StatedQuota",
    "StatedRate",
    "is_message",
    "make_key",
]
