"""The sites as they are today, for measurements."""

from sassafrasstile import soak
from sassafrasstile import standins

SHAPES = {
    "fellesvarsel": soak.SiteShape(
        gateways=3,
        prefills=4,
        decodes=5,
        services=3,
        speed=standins.EngineSpeed(
            slots=20,
            pieces=2500,
            prefill_tokens_per_s=20_000.0,
            step_s=0.02,
            link_tokens_per_s=100_000.0,
        ),
        generation_rate=1.0,
        call_rate=2.0,
        deferred_share=0.7,
        booking_share=0.5,
        prompt_tokens=(200, 3000),
        max_tokens=64,
        runs_unlogged=True,
    ),
    "kestrelvlei": soak.SiteShape(
        gateways=3,
        prefills=3,
        decodes=3,
        services=3,
        speed=standins.EngineSpeed(
            slots=20,
            pieces=8000,
            prefill_tokens_per_s=20_000.0,
            step_s=0.02,
            link_tokens_per_s=100_000.0,
        ),
        generation_rate=1.0,
        call_rate=1.0,
        deferred_share=0.9,
        booking_share=0.5,
        prompt_tokens=(1000, 12_000),
        max_tokens=64,
        runs_unlogged=False,
    ),
}
