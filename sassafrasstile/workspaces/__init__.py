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
from sassafrasstile.workspaces._belief import (
    Confirmation,
    KeyBelief,
    Source,
    read_boot_time_s,
)
from sassafrasstile.workspaces._checker import AccessChecker
from sassafrasstile.workspaces._codec import is_message
from sassafrasstile.workspaces._directory import WorkspaceDirectory
from sassafrasstile.workspaces._exchange import BeliefExchange

__all__ = [
    "ANONYMOUS",
    "OUTSIDE",
    "Access",
    "AccessChecker",
    "AccessError",
    "BeliefExchange",
    "Confirmation",
    "KeyBelief",
    "Quota",
    "QuotaUnit",
    "Source",
    "Workspace",
    "WorkspaceDirectory",
    "is_message",
    "read_boot_time_s",
]
