"""Chooses the gateways that remember where a stream began."""

from collections.abc import Collection, Mapping
import itertools

from sassafrasstile import peers


def rank_holders(key: str, zones: Mapping[str, str]) -> list[str]:
    """Orders gateways by how readily they remember a stream.

    Rendezvous hashing: each gateway that knows about the same others gets about
    the same order, and a gateway that comes or goes changes little of it. The
    first gateways are in different availability zones, so that they outlive
    the loss of a zone.

    >>> rank_holders("k", {"a1": "a", "a2": "a", "b1": "b"})
    ['b1', 'a1', 'a2']

    Args:
        key: The stream's key.
        zones: The availability zones of the gateways by name.

    Returns:
        The names of all gateways, the first choice first.
    """
    by_zone: dict[str, list[str]] = {}
    by_weight = sorted(
        zones, key=lambda name: peers.weigh(key, name), reverse=True
    )
    for name in by_weight:
        by_zone.setdefault(zones[name], []).append(name)
    ranked_zones = sorted(
        by_zone, key=lambda zone: peers.weigh(key, f"zone {zone}"), reverse=True
    )
    rounds = itertools.zip_longest(*(by_zone[zone] for zone in ranked_zones))
    return [name for names in rounds for name in names if name is not None]


class ZoneOrder:
    """Tells quickly that a gateway isn't among the first for a stream.

    Ranking all gateways takes a hash of each. Most of them are excluded by a
    few others of their own zone that come before them.

    >>> order = ZoneOrder({"a1": "a", "a2": "a", "b1": "b"}, count=1)
    >>> order.may_be_first("k", "b1"), order.may_be_first("k", "a2")
    (True, False)

    Args:
        zones: The availability zones of the gateways by name.
        count: How many gateways are the first.
    """

    def __init__(self, zones: Mapping[str, str], *, count: int):
        self._zones = zones
        self._members: dict[str, list[str]] = {}
        for name, zone in zones.items():
            self._members.setdefault(zone, []).append(name)
        self._limit = _find_limit(self._members.values(), count)

    def may_be_first(self, key: str, name: str) -> bool:
        """Returns False if a gateway can't be among the first for a stream."""
        if name not in self._zones:
            return False
        weight = peers.weigh(key, name)
        preceding = 0
        for other in self._members[self._zones[name]]:
            preceding += peers.weigh(key, other) > weight
            if preceding >= self._limit:
                return False
        return True


def _find_limit(groups: Collection[Collection[str]], count: int) -> int:
    """Returns the place in its zone from which on none is among the first.

    The gateways before a place in each zone come before those at that place.
    """
    places = itertools.count(1)
    total = sum(map(len, groups))
    return next(
        place
        for place in places
        if sum(min(place, len(group)) for group in groups) >= min(count, total)
    )
