"""Finds the workspace that a caller belongs to."""

import hashlib
import os
import pathlib

from sassafrasstile import errors
from sassafrasstile import settings

DEFAULT_WORKSPACE = "default"


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()


class WorkspaceDirectory:
    """Finds workspaces by key, or by name if they have no key.

    Keys are stored and looked up as digests, so that the duration of a lookup
    reveals nothing about a key.

    Args:
        workspaces: The configured workspaces by name.
    """

    def __init__(self, *, workspaces: dict[str, settings.WorkspaceSettings]):
        self.workspaces = workspaces
        self._names: dict[bytes, str] = {}
        self._keyless: set[str] = set()

    def start(self) -> None:
        """Reads the keys.

        Raises:
            errors.ConfigurationError: If a key can't be read.
        """
        for name, workspace in self.workspaces.items():
            key = _read_key(name, workspace)
            if key:
                self._names[_digest(key)] = name
            else:
                self._keyless.add(name)
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
        found = self._names.get(_digest(key)) if key else None
        if found is not None and name in ("", found):
            return found
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
