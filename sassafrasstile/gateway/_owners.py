"""Which endpoint owns an idempotency key."""

from collections.abc import Iterable
import hashlib

from sassafrasstile.gateway import _endpoints


class OwnerMap:
    """Maps each key to one endpoint by rendezvous hashing.

    Every gateway has the same configured endpoints and so computes the same
    owner, whether that endpoint is up or not.

    Args:
        endpoints: The endpoints of the configuration.
    """

    def __init__(self, *, endpoints: Iterable[_endpoints.Endpoint]):
        self._names: dict[str, list[str]] = {}
        for item in endpoints:
            if item.role == "service":
                self._names.setdefault(item.serves, []).append(item.name)

    def find(self, *, service: str, key: str) -> str:
        """Returns the owner's name, or an empty string for no service."""
        names = self._names.get(service)
        if not names:
            return ""
        return max(names, key=lambda name: _weigh(name, key))


def _weigh(name: str, key: str) -> bytes:
    return hashlib.blake2b(f"{name}\0{key}".encode(), digest_size=8).digest()
