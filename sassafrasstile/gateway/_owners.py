"""Lookup of the endpoint that owns an idempotency key."""

from collections.abc import Iterable
import hashlib

from sassafrasstile import ownership
from sassafrasstile.gateway import _endpoints


class OwnerMap:
    """Caches which endpoint owns each slot.

    The owner of an unknown slot is guessed by rendezvous hashing, so that all
    gateways guess the same endpoint. A wrong guess costs one refusal, which
    names the owner.

    Args:
        endpoints: The endpoints of the configuration.
    """

    def __init__(self, *, endpoints: Iterable[_endpoints.Endpoint]):
        self._names: dict[str, list[str]] = {}
        self._owners: dict[tuple[str, int], str] = {}
        for item in endpoints:
            if item.role == "service":
                self._names.setdefault(item.serves, []).append(item.name)

    def find_owner(self, *, service: str, key: str) -> str:
        """Returns the owner's name, or an empty string if unknown."""
        slot = ownership.find_slot(key)
        known = self._owners.get((service, slot))
        if known is not None:
            return known
        names = self._names.get(service)
        if not names:
            return ""
        return max(names, key=lambda name: _compute_weight(name, slot))

    def record_owner(self, *, service: str, key: str, owner: str) -> None:
        """Records the owner that a refusal named."""
        if owner in self._names.get(service, ()):
            self._owners[(service, ownership.find_slot(key))] = owner

    def forget(self, *, service: str, key: str) -> None:
        """Forgets a key's owner, for example after it refused a call."""
        self._owners.pop((service, ownership.find_slot(key)), None)

    def list_endpoints(self, service: str) -> list[str]:
        """Returns the names of a service's endpoints."""
        return self._names.get(service, [])


def _compute_weight(name: str, slot: int) -> bytes:
    return hashlib.blake2b(f"{name}\0{slot}".encode(), digest_size=8).digest()
