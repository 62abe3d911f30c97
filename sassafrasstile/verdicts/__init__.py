"""Verdicts on whether an attempt has run."""

from sassafrasstile.verdicts._base import (
    MayHaveRun,
    NotRun,
    Ran,
    Verdict,
    VerdictName,
    is_safe_to_retry,
    make_verdict,
    name_verdict,
)

__all__ = [
    "MayHaveRun",
    "NotRun",
    "Ran",
    "Verdict",
    "VerdictName",
    "is_safe_to_retry",
    "make_verdict",
    "name_verdict",
]
