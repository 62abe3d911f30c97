"""Finds workspaces by key."""

from collections.abc import Iterable
import hashlib
import logging

from sassafrasstile.workspaces import _base

_LOG = logging.getLogger("sassafrasstile.workspaces")


class WorkspaceDirectory:
    """The workspaces of a configuration by key.

    Keys are looked up as digests, so that the duration of a lookup reveals
    nothing about a key. A key that two workspaces hold belongs to the first
    of them.

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
        self._by_digest: dict[bytes, _base.Workspace] = {}
        shared = 0
        for workspace in workspaces:
            for key in workspace.keys:
                digest = _make_digest(key)
                holder = self._by_digest.setdefault(digest, workspace)
                shared += holder is not workspace
        if shared:
            _LOG.warning(
                "config: %d keys belong to several workspaces.",
                shared,
                extra={"keys": shared},
            )

    def find(self, key: str) -> _base.Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_digest.get(_make_digest(key))


def _make_digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
