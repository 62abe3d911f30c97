"""Sizes and workloads of the sites that the soak runs."""

import dataclasses

from sassafrasstile import gateway
from sassafrasstile import sidecar
from sassafrasstile import standins

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteShape:
    """The components of a site and the workload of its callers.

    Attributes:
        gateways: Number of gateways.
        prefills: Number of prefill endpoints.
        decodes: Number of decode endpoints.
        services: Number of service endpoints.
        speed: Speed and capacity of each engine.
        generation_rate: Generation requests per second.
        call_rate: Calls to services per second.
        deferred_share: Share of generation requests that are deferred.
        booking_share: Share of calls that are not idempotent.
        prompt_tokens: Minimum and maximum length of a prompt.
        max_tokens: Maximum length of an output.
        runs_unlogged: True if bookings run during an outage of the log.
        routing: The gateways' settings.
    """

    gateways: int
    prefills: int
    decodes: int
    services: int
    speed: standins.EngineSpeed
    generation_rate: float
    call_rate: float
    deferred_share: float
    booking_share: float
    prompt_tokens: tuple[int, int]
    max_tokens: int
    runs_unlogged: bool
    routing: gateway.GatewaySettings = dataclasses.field(
        default_factory=gateway.GatewaySettings
    )

    def make_limits(self) -> sidecar.EngineLimits:
        """Returns the engine limits with which the sidecars are configured."""
        return sidecar.EngineLimits(
            slots=self.speed.slots,
            pieces=self.speed.pieces,
            tokens_per_piece=self.speed.tokens_per_piece,
            prefill_ttl_s=self.speed.prefill_ttl_s,
        )


SITES = {
    "fellesvarsel": SiteShape(
        gateways=3,
        prefills=4,
        decodes=5,
        services=3,
        speed=standins.EngineSpeed(
            slots=20,
            pieces=2000,
            prefill_tokens_per_s=8000.0,
            step_s=0.1,
        ),
        generation_rate=6.0,
        call_rate=3.0,
        deferred_share=0.7,
        booking_share=0.6,
        prompt_tokens=(100, 3000),
        max_tokens=64,
        runs_unlogged=True,
    ),
    "kestrelvlei": SiteShape(
        gateways=3,
        prefills=3,
        decodes=3,
        services=3,
        speed=standins.EngineSpeed(
            slots=20,
            pieces=4000,
            prefill_tokens_per_s=8000.0,
            step_s=0.1,
        ),
        generation_rate=2.5,
        call_rate=2.0,
        deferred_share=0.9,
        booking_share=0.5,
        prompt_tokens=(1000, 12000),
        max_tokens=64,
        runs_unlogged=False,
    ),
}
