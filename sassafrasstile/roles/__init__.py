"""Assigns prefill and decode roles to engines."""

from sassafrasstile.roles._base import RoleOrder
from sassafrasstile.roles._manager import RoleManager
from sassafrasstile.roles._plan import choose_order
from sassafrasstile.roles._lease import LeaderLease

__all__ = ["RoleManager", "RoleOrder", "LeaderLease", "choose_order"]
