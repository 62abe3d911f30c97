"""The known endpoints, and which of them accept new work."""

from sassafrasstile.membership._base import (
    EndpointRecord,
    EndpointState,
    Role,
)
from sassafrasstile.membership._roster import Roster

__all__ = ["EndpointRecord", "EndpointState", "Role", "Roster"]
