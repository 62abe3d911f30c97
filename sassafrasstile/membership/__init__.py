"""Which endpoints there are, and which may take new work."""

from sassafrasstile.membership._base import (
    EndpointRecord,
    EndpointState,
    Role,
)
from sassafrasstile.membership._roster import Roster

__all__ = ["EndpointRecord", "EndpointState", "Role", "Roster"]
