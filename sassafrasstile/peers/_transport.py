"""The interface through which gateways send each other messages."""

from collections.abc import Collection, Mapping
from typing import Protocol


class Transport(Protocol):
    """Sends messages to other gateways; any of them may be lost."""

    def list_zones(self) -> Mapping[str, str]:
        """Returns the availability zones of the other gateways by name."""

    def list_live(self) -> Collection[str]:
        """Returns the names of those from which messages arrive."""

    def count_lost(self) -> int:
        """Returns how many others fell silent and may still serve callers."""

    def send(self, name: str, payload: bytes) -> None:
        """Sends a message to a gateway."""


class NoTransport:
    """The transport of a gateway without others."""

    def list_zones(self) -> Mapping[str, str]:
        """Returns nothing."""
        return {}

    def list_live(self) -> Collection[str]:
        """Returns nothing."""
        return ()

    def count_lost(self) -> int:
        """Returns zero."""
        return 0

    def send(self, name: str, payload: bytes) -> None:
        """Sends nothing."""
