"""Chooses the engine that should change its role next."""

import collections
from collections.abc import Collection, Mapping, Sequence
import math

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile.roles import _base

# A decode engine becomes a prefill engine only while there are more decode
# engines than this: the change takes it out of service for many seconds, and
# decode engines can prefill prompts locally meanwhile.
_MIN_DECODE_ENGINES = 4
# The same for the decode engines of one software version, since a stream goes
# on only at the version that began it.
_MIN_DECODE_ENGINES_OF_VERSION = 2


def choose_order(
    engines: Sequence[dispatch.Endpoint],
    *,
    pending_roles: Mapping[dispatch.Endpoint, membership.Role],
    prefill_share: float,
    excluded: Collection[dispatch.Endpoint] = (),
) -> _base.RoleOrder | None:
    """Returns the order that brings the roles closer to the wanted share.

    An engine finishes its work before it changes its role and is out of
    service for seconds, so an engine with little work is chosen. Engines work
    together with those of their own software version, so each version should
    have both kinds.

    Args:
        engines: The engines of one service that accept work.
        pending_roles: The roles that some of them have been ordered to take.
        prefill_share: The share of engines that should prefill.
        excluded: Engines that take no orders now.

    Returns:
        The order, or None when no role should change now.
    """
    prefills = []
    decodes = []
    for engine in engines:
        role = pending_roles.get(engine, engine.record.role)
        is_prefill = role is membership.Role.PREFILL
        (prefills if is_prefill else decodes).append(engine)
    wanted = max(1, math.ceil(prefill_share * len(engines)))
    wanted = min(len(engines) - 1, wanted)
    if len(prefills) > wanted:
        candidates, role = prefills, membership.Role.DECODE
    elif len(prefills) < wanted and len(decodes) > _MIN_DECODE_ENGINES:
        candidates, role = decodes, membership.Role.PREFILL
    else:
        return None
    candidates = [
        item
        for item in candidates
        if item not in pending_roles and item not in excluded
    ]
    candidates = _select_version(candidates, role, prefills, decodes)
    if not candidates:
        return None
    return _base.RoleOrder(engine=_choose_least_loaded(candidates), role=role)


def _select_version(
    candidates: Sequence[dispatch.Endpoint],
    role: membership.Role,
    prefills: Sequence[dispatch.Endpoint],
    decodes: Sequence[dispatch.Endpoint],
) -> list[dispatch.Endpoint]:
    """Returns the candidates of the version that needs the new role most."""
    prefill_counts = _count_versions(prefills)
    decode_counts = _count_versions(decodes)

    def get_prefill_share(item: dispatch.Endpoint) -> float:
        version = item.record.software_version
        total = prefill_counts[version] + decode_counts[version]
        return prefill_counts[version] / total

    if role is membership.Role.PREFILL:
        candidates = [
            item
            for item in candidates
            if decode_counts[item.record.software_version]
            > _MIN_DECODE_ENGINES_OF_VERSION
        ]
    if not candidates:
        return []
    shares = [get_prefill_share(item) for item in candidates]
    best = min(shares) if role is membership.Role.PREFILL else max(shares)
    return [item for item in candidates if get_prefill_share(item) == best]


def _count_versions(
    engines: Sequence[dispatch.Endpoint],
) -> collections.Counter[str]:
    return collections.Counter(item.record.software_version for item in engines)


def _choose_least_loaded(
    engines: Sequence[dispatch.Endpoint],
) -> dispatch.Endpoint:
    """Returns the least loaded engine of the zone with the most engines."""
    zones = [item.record.zone for item in engines]
    return max(
        engines,
        key=lambda item: (
            zones.count(item.record.zone),
            -item.total_reserved_tokens - item.total_prefill_tokens,
            item.name,
        ),
    )
