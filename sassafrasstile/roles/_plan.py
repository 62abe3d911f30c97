"""Decides which engine should change its role."""

from collections.abc import Mapping, Sequence
import math

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile.roles import _base

# An engine that is to prefill leaves at least so many that decode: it is away
# for many seconds, and decode engines can read prompts themselves meanwhile.
_LEAST_DECODES = 4


def choose_order(
    engines: Sequence[dispatch.Endpoint],
    *,
    changing: Mapping[dispatch.Endpoint, membership.Role],
    prefill_share: float,
) -> _base.RoleOrder | None:
    """Returns the next order that brings the roles closer to a share.

    An engine that changes ends its work first and is away for seconds, so
    the one with the least work changes.

    Args:
        engines: The engines of one service that take work.
        changing: The roles that some of them will soon have.
        prefill_share: The share of engines that should prefill.

    Returns:
        The order, or None when the roles are as wanted.
    """
    prefills = []
    decodes = []
    for engine in engines:
        role = changing.get(engine, engine.record.role)
        is_prefill = role is membership.Role.PREFILL
        (prefills if is_prefill else decodes).append(engine)
    wanted = max(1, math.ceil(prefill_share * len(engines)))
    wanted = min(len(engines) - 1, wanted)
    if len(prefills) > wanted:
        candidates, role = prefills, membership.Role.DECODE
    elif len(prefills) < wanted and len(decodes) > _LEAST_DECODES:
        candidates, role = decodes, membership.Role.PREFILL
    else:
        return None
    candidates = [item for item in candidates if item not in changing]
    if not candidates:
        return None
    return _base.RoleOrder(engine=_choose_idle(candidates), role=role)


def _choose_idle(engines: Sequence[dispatch.Endpoint]) -> dispatch.Endpoint:
    """Returns the engine with the least work, of the zone with the most."""
    zones = [item.record.zone for item in engines]
    return max(
        engines,
        key=lambda item: (
            zones.count(item.record.zone),
            -item.total_reserved_tokens - item.total_prefill_tokens,
            item.name,
        ),
    )
