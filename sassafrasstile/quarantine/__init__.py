"""Requests that crash endpoints: found by what crashes have in common."""

from sassafrasstile.quarantine._base import (
    Content,
    Suspicion,
    make_call,
    make_prompt,
)
from sassafrasstile.quarantine._codec import is_message
from sassafrasstile.quarantine._crash_log import CrashLog
from sassafrasstile.quarantine._quarantine import Quarantine
from sassafrasstile.quarantine._watch import RunWatch

__all__ = [
    "Content",
    "CrashLog",
    "Quarantine",
    "RunWatch",
    "Suspicion",
    "is_message",
    "make_call",
    "make_prompt",
]
