"""The known endpoints, and which of them accept new work."""

from sassafrasstile.membership._base import (
    EndpointRecord,
    EndpointState,
    Role,
)
from sassafrasstile.membership._roster import RETURN_GRACE_S, Roster

__all__ = [
    "RETURN_GRACE_S",
    "EndpointRecord",
    "EndpointState",
    "Role",
    "Roster",
]
