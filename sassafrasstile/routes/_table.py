"""Looks up the route of a request."""

from collections.abc import Iterable

from sassafrasstile.routes import _base


class RouteTable:
    """Looks up routes by host and longest path prefix.

    Args:
        routes: The routes.

    >>> from sassafrasstile import routes
    >>> def make(prefix):
    ...     return routes.Route(
    ...         name=prefix, host="a.example", prefix=prefix,
    ...         kind=routes.RouteKind.IDEMPOTENT_CALL, services=(),
    ...         timeout_s=1.0, target_s=0.5)
    >>> table = RouteTable(routes=[make("/a/"), make("/a/b/")])
    >>> table.find(host="A.example:80", target="/a/b/c?x=1").name
    '/a/b/'
    >>> table.find(host="a.example", target="/other/") is None
    True
    """

    def __init__(self, *, routes: Iterable[_base.Route]):
        self._hosts: dict[str, dict[str, _base.Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, *, host: str, target: str) -> _base.Route | None:
        """Returns the route of a request, or None.

        Args:
            host: The host named by the request, with or without a port.
            target: The request target: path and query.
        """
        prefixes = self._hosts.get(host.rsplit(":", 1)[0].lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
