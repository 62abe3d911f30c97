"""Finds workspaces by key."""

from collections.abc import Iterable
import logging

from sassafrasstile.workspaces import _base

_LOG = logging.getLogger("sassafrasstile.workspaces")


class WorkspaceDirectory:
    """The workspaces of a configuration by key.

    A key that two workspaces hold belongs to the first of them.

    Args:
        workspaces: The workspaces.

    >>> directory = WorkspaceDirectory(
    ...     workspaces=[_base.Workspace(name="a", keys=frozenset(["k1"]))]
    ... )
    >>> directory.find("k1").name
    'a'
    >>> directory.find("k2") is None
    True
    """

    def __init__(self, *, workspaces: Iterable[_base.Workspace] = ()):
        self._by_key: dict[str, _base.Workspace] = {}
        for workspace in workspaces:
            for key in workspace.keys:
                holder = self._by_key.setdefault(key, workspace)
                if holder is not workspace:
                    _LOG.warning(
                        "config: workspaces %s and %s have a key in common.",
                        holder.name,
                        workspace.name,
                    )

    def find(self, key: str) -> _base.Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_key.get(key)
