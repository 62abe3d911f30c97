"""Rate limits."""

from sassafrasstile.limits._token_bucket import TokenBucket

__all__ = ["TokenBucket"]
