"""Which endpoint owns an idempotency key."""

from collections.abc import Iterable
import hashlib

from sassafrasstile import ownership
from sassafrasstile.gateway import _endpoints


class OwnerMap:
    """Remembers which endpoint owns each slot, and guesses at first.

    A wrong guess costs one refusal, which names the owner. The guess is by
    rendezvous hashing, so that gateways agree on whom to ask.

    Args:
        endpoints: The endpoints of the configuration.
    """

    def __init__(self, *, endpoints: Iterable[_endpoints.Endpoint]):
        self._names: dict[str, list[str]] = {}
        self._owners: dict[tuple[str, int], str] = {}
        for item in endpoints:
            if item.role == "service":
                self._names.setdefault(item.serves, []).append(item.name)

    def find(self, *, service: str, key: str) -> str:
        """Returns the owner's name, or an empty string for no service."""
        slot = ownership.find_slot(key)
        known = self._owners.get((service, slot))
        if known is not None:
            return known
        names = self._names.get(service)
        if not names:
            return ""
        return max(names, key=lambda name: _weigh(name, slot))

    def learn(self, *, service: str, key: str, owner: str) -> None:
        """Notes the owner that a refusal named."""
        if owner in self._names.get(service, ()):
            self._owners[(service, ownership.find_slot(key))] = owner

    def forget(self, *, service: str, key: str) -> None:
        """Forgets the owner of a key that can't be reached or isn't sure."""
        self._owners.pop((service, ownership.find_slot(key)), None)

    def list_names(self, service: str) -> list[str]:
        """Returns every endpoint of a service."""
        return self._names.get(service, [])


def _weigh(name: str, slot: int) -> bytes:
    return hashlib.blake2b(f"{name}\0{slot}".encode(), digest_size=8).digest()
