"""Role changes that a gateway orders."""

import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import membership


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleOrder:
    """An order to change an engine's role.

    Attributes:
        engine: The engine.
        role: The role that it should take.
    """

    engine: dispatch.Endpoint
    role: membership.Role
