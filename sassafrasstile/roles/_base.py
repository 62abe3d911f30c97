"""Orders to engines."""

import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import membership


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleOrder:
    """An order to change an engine's role.

    Attributes:
        engine: The engine.
        role: The role wanted.
    """

    engine: dispatch.Endpoint
    role: membership.Role
