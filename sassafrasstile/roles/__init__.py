"""Gives engines the role that the load asks for."""

from sassafrasstile.roles._base import RoleOrder
from sassafrasstile.roles._manager import RoleManager
from sassafrasstile.roles._plan import choose_order
from sassafrasstile.roles._term import TermHolder

__all__ = ["RoleManager", "RoleOrder", "TermHolder", "choose_order"]
