"""Workspaces: whose request it is, and whether it may run now."""

from sassafrasstile.workspaces._base import (
    ANONYMOUS,
    OUTSIDE,
    Access,
    AccessError,
    Quota,
    QuotaUnit,
    Workspace,
)
from sassafrasstile.workspaces._checker import AccessChecker
from sassafrasstile.workspaces._directory import WorkspaceDirectory

__all__ = [
    "ANONYMOUS",
    "OUTSIDE",
    "Access",
    "AccessChecker",
    "AccessError",
    "Quota",
    "QuotaUnit",
    "Workspace",
    "WorkspaceDirectory",
]
