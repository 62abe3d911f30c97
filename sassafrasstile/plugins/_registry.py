"""A registry of implementations by kind and name."""

from collections.abc import Callable
import enum
from typing import Any

from sassafrasstile import errors


class Kind(enum.StrEnum):
    """The kinds of plug-ins."""

    POLICY = "policy"
    ENGINE = "engine"
    SERVICE = "service"
    LOG = "log"
    LIVENESS = "liveness"


_FACTORIES: dict[Kind, dict[str, Callable[..., Any]]] = {
    kind: {} for kind in Kind
}


def register(kind: Kind, name: str) -> Callable[[type], type]:
    """Returns a class decorator that registers an implementation.

    Args:
        kind: The kind of plug-in.
        name: The name that selects it in the settings.

    Returns:
        The decorator. It returns the class unchanged.
    """

    def add(factory: type) -> type:
        _FACTORIES[kind][name] = factory
        return factory

    return add


def list_names(kind: Kind) -> list[str]:
    """Returns the registered names of a kind, sorted."""
    return sorted(_FACTORIES[kind])


def create(kind: Kind, name: str, **parameters: Any) -> Any:
    """Creates a registered implementation.

    Args:
        kind: The kind of plug-in.
        name: Its registered name.
        **parameters: Keyword arguments for its constructor.

    Returns:
        The new object.

    Raises:
        errors.Error: With UNKNOWN_PLUGIN when the name isn't registered.
    """
    factories = _FACTORIES[kind]
    if name not in factories:
        raise errors.Error(
            code=errors.Code.UNKNOWN_PLUGIN,
            detail=f"{kind} {name!r} is not one of {list_names(kind)}",
        )
    return factories[name](**parameters)
