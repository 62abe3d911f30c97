"""Typed messages between a gateway and a sidecar."""

from sassafrasstile.messages._base import (
    Attempted,
    Batch,
    Load,
    Message,
)
from sassafrasstile.messages._calls import (
    Call,
    CallAnswered,
    Inquire,
    KeyStatus,
)
from sassafrasstile.messages._generation import (
    Cancel,
    Decode,
    Finished,
    Pieces,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
    Resume,
    Resumed,
)
from sassafrasstile.messages._leases import Failed, Renew, Renewed

__all__ = [
    "Attempted",
    "Batch",
    "Call",
    "CallAnswered",
    "Cancel",
    "Decode",
    "Failed",
    "Finished",
    "Inquire",
    "KeyStatus",
    "Load",
    "Message",
    "Pieces",
    "Prefill",
    "Prefilled",
    "Renew",
    "Renewed",
    "Reserve",
    "Reserved",
    "Resume",
    "Resumed",
]
