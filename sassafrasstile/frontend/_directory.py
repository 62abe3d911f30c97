"""Finds the workspace that a caller belongs to."""

import os
import pathlib

from sassafrasstile import errors
from sassafrasstile import settings
from sassafrasstile import workspaces

DEFAULT_WORKSPACE = "default"


class CallerDirectory:
    """Finds workspaces by key, or by name if they have no key.

    Args:
        workspaces: The configured workspaces by name.
    """

    def __init__(self, *, workspaces: dict[str, settings.WorkspaceSettings]):
        self.workspaces = workspaces
        self._keyed = _make_directory({})
        self._keyless: set[str] = set()

    def start(self) -> None:
        """Reads the keys.

        Raises:
            errors.ConfigurationError: If a key can't be read.
        """
        keys = {
            name: _read_key(name, workspace)
            for name, workspace in self.workspaces.items()
        }
        self._keyed = _make_directory(keys)
        self._keyless = {name for name, key in keys.items() if not key}
        if not self.workspaces:
            self._keyless.add(DEFAULT_WORKSPACE)

    def find(self, *, key: str, name: str) -> str:
        """Finds a caller's workspace.

        Args:
            key: The bearer token, or an empty string.
            name: The workspace named in X-Workspace, or an empty string.

        Returns:
            The workspace's name.

        Raises:
            errors.RequestError: With UNKNOWN_WORKSPACE, if none matches.
        """
        found = self._keyed.find(key) if key else None
        if found is not None and name in ("", found.name):
            return found.name
        if not self.workspaces:
            return DEFAULT_WORKSPACE
        if name in self._keyless:
            return name
        raise errors.RequestError(
            code=errors.Code.UNKNOWN_WORKSPACE,
            detail="The key or the header X-Workspace names no workspace.",
            status=401,
        )

    def is_deferred(self, name: str) -> bool:
        """Returns whether a workspace's generation requests are deferred."""
        workspace = self.workspaces.get(name)
        return workspace is not None and workspace.deferred


def _make_directory(keys: dict[str, str]) -> workspaces.WorkspaceDirectory:
    return workspaces.WorkspaceDirectory(
        workspaces=[
            workspaces.Workspace(name=name, keys=frozenset([key]))
            for name, key in keys.items()
            if key
        ]
    )


def _read_key(name: str, workspace: settings.WorkspaceSettings) -> str:
    if workspace.key_env:
        key = os.environ.get(workspace.key_env, "")
        if not key:
            raise errors.ConfigurationError(
                code=errors.Code.CONFIG_UNREADABLE,
                detail=(
                    f"workspaces.{name}.key_env names {workspace.key_env}, "
                    "which is not set"
                ),
            )
        return key
    if not workspace.key_file:
        return ""
    try:
        return pathlib.Path(workspace.key_file).read_text().strip()
    except OSError as error:
        raise errors.ConfigurationError(
            code=errors.Code.CONFIG_UNREADABLE,
            detail=f"workspaces.{name}.key_file: {error}",
        ) from error
