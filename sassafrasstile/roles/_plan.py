"""Chooses the engine that should change its role next."""

from collections.abc import Collection, Mapping, Sequence
import math

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile.roles import _base

# A decode engine becomes a prefill engine only while there are more decode
# engines than this: the change takes it out of service for many seconds, and
# decode engines can prefill prompts locally meanwhile.
_MIN_DECODE_ENGINES = 4


def choose_order(
    engines: Sequence[dispatch.Endpoint],
    *,
    pending_roles: Mapping[dispatch.Endpoint, membership.Role],
    prefill_share: float,
    excluded: Collection[dispatch.Endpoint] = (),
) -> _base.RoleOrder | None:
    """Returns the order that brings the roles closer to the wanted share.

    An engine finishes its work before it changes its role and is out of
    service for seconds, so an engine with little work is chosen.

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
    if not candidates:
        return None
    return _base.RoleOrder(engine=_choose_least_loaded(candidates), role=role)


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
