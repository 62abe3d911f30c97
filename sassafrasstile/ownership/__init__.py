"""Ownership of idempotency keys: records in the log and their replay."""

from sassafrasstile.ownership._records import (
    Checkpoint,
    Claim,
    Evict,
    Join,
    Leave,
    LogEntry,
    Member,
    Record,
    Release,
    decode_record,
    encode_record,
)
from sassafrasstile.ownership._replay import (
    SLOT_COUNT,
    ClaimState,
    OwnershipState,
    find_slot,
)

__all__ = [
    "SLOT_COUNT",
    "Checkpoint",
    "Claim",
    "ClaimState",
    "Evict",
    "Join",
    "Leave",
    "LogEntry",
    "Member",
    "OwnershipState",
    "Record",
    "Release",
    "decode_record",
    "encode_record",
    "find_slot",
]
