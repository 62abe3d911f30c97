"""The active configuration, which is never replaced by an older one."""

import logging

from sassafrasstile import workspaces
from sassafrasstile.routes import _base
from sassafrasstile.routes import _table

_LOG = logging.getLogger("sassafrasstile.routes")


class ActiveConfiguration:
    """Holds the configuration with the highest version received so far.

    Attributes:
        current: The configuration in force, or None before the first one.
        table: Its routes.
        directory: Its workspaces, or None if it has none.
        priorities: The priorities that its generations may have.

    >>> active = ActiveConfiguration()
    >>> newer = _base.Configuration(version=4, routes=(), services={})
    >>> older = _base.Configuration(version=3, routes=(), services={})
    >>> active.apply_if_newer(newer), active.apply_if_newer(older)
    (True, False)
    >>> active.version
    4
    """

    def __init__(self):
        self.current: _base.Configuration | None = None
        self.table = _table.RouteTable(routes=())
        self.directory: workspaces.WorkspaceDirectory | None = None
        self._workspaces: dict[str, workspaces.Workspace] = {}
        self.priorities: frozenset[int] = frozenset()

    @property
    def version(self) -> int | None:
        """The active version, or None before the first configuration."""
        return None if self.current is None else self.current.version

    def find_workspace(self, name: str) -> workspaces.Workspace | None:
        """Returns the workspace of a name, or None."""
        return self._workspaces.get(name)

    def apply_if_newer(self, configuration: _base.Configuration) -> bool:
        """Activates a configuration if its version is newer.

        Returns:
            True if the configuration was activated.
        """
        before = self.version
        if before is not None and configuration.version <= before:
            return False
        self.table = _table.RouteTable(routes=configuration.routes)
        self.current = configuration
        self.directory = None
        self._workspaces = {
            item.name: item for item in configuration.workspaces
        }
        self.priorities = _list_priorities(configuration)
        if configuration.workspaces:
            self.directory = workspaces.WorkspaceDirectory(
                workspaces=configuration.workspaces
            )
        _LOG.info(
            "config: version %s is in force.",
            configuration.version,
            extra={
                "version": configuration.version,
                "version_before": before,
                "routes": len(configuration.routes),
                "workspaces": len(configuration.workspaces),
                "idle_timeout_s": configuration.limits.idle_timeout_s,
            },
        )
        return True


def _list_priorities(configuration: _base.Configuration) -> frozenset[int]:
    """Returns the priorities that generations may have."""
    of_routes = {
        route.priority
        for route in configuration.routes
        if route.kind is _base.RouteKind.GENERATION
    }
    of_workspaces = {item.priority for item in configuration.workspaces}
    return frozenset(of_routes | of_workspaces - {None})
