"""State shared by the parts of the gateway kernel."""

import logging

from sassafrasstile import messages
from sassafrasstile import policies
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _budget
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _settings

_LOG = logging.getLogger("sassafrasstile.gateway")


class Context:
    """Endpoints, retry budget, policy, attempt numbers and effects.

    Args:
        name: The gateway's name.
        settings: The gateway's settings.
        policy: The routing policy.
        endpoints: The endpoints that the gateway may use.
    """

    def __init__(
        self,
        *,
        name: str,
        settings: _settings.GatewaySettings,
        policy: policies.Policy,
        endpoints: _endpoints.EndpointTable,
    ):
        self.name = name
        self.settings = settings
        self.policy = policy
        self.endpoints = endpoints
        self.budget = _budget.RetryBudget(
            share=settings.retry_share, reserve=settings.retry_reserve
        )
        self.next_attempt = 1
        self._effects: list[_base.Effect] = []

    def issue_attempt_number(self) -> int:
        """Returns the next attempt number of this incarnation."""
        attempt = self.next_attempt
        self.next_attempt += 1
        return attempt

    def emit(self, effect: _base.Effect) -> None:
        """Appends an effect."""
        self._effects.append(effect)

    def send(self, peer: str, message: messages.Message) -> None:
        """Appends the effect of sending a message."""
        self._effects.append(_base.Send(peer=peer, message=message))

    def take_effects(self) -> list[_base.Effect]:
        """Returns the effects collected so far and clears them."""
        effects = self._effects
        self._effects = []
        return effects

    def choose_endpoint(
        self,
        *,
        request_id: str,
        role: str,
        serves: str,
        tokens: int,
        zone: str,
        excluded: set[str],
        now: float,
    ) -> _endpoints.Endpoint | None:
        """Lets the policy choose an endpoint.

        Args:
            request_id: The request's id.
            role: The required role.
            serves: The required model or service.
            tokens: The size of the work in tokens.
            zone: The preferred availability zone, or an empty string.
            excluded: Names of endpoints that failed this request before.
            now: Kernel time in seconds.

        Returns:
            The endpoint, or None when none can take work now.
        """
        usable = self.endpoints.list_usable(
            role=role, serves=serves, now=now, excluded=excluded
        )
        if not usable:
            return None
        views = [_endpoints.make_view(item) for item in usable]
        request = policies.WorkRequest(
            request_id=request_id, tokens=tokens, zone=zone
        )
        view = self.policy.choose(views, request=request, now=now)
        _LOG.info(
            "gateway %s: request %s: chooses %s for %s. Reason: %s of %d, "
            "%d of %d slots free.",
            self.name,
            request_id,
            view.name,
            role,
            self.settings.policy,
            len(views),
            view.free_slots,
            view.slots,
        )
        return self.endpoints.get(view.name)
