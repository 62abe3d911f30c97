"""The sites to measure, with their real engine speeds and request sizes."""

import dataclasses

from sassafrasstile import soak
from sassafrasstile import standins


def _make_shape(
    site: str,
    *,
    pieces: int,
    call_rate: float,
    prompt_tokens: tuple[int, int],
) -> soak.SiteShape:
    """Returns a site of the soak with the speeds of real engines."""
    speed = standins.EngineSpeed(
        pieces=pieces,
        prefill_tokens_per_s=20_000.0,
        link_tokens_per_s=100_000.0,
    )
    return dataclasses.replace(
        soak.SITES[site],
        speed=speed,
        generation_rate=1.0,
        call_rate=call_rate,
        booking_share=0.5,
        prompt_tokens=prompt_tokens,
    )


SHAPES = {
    "fellesvarsel": _make_shape(
        "fellesvarsel", pieces=2500, call_rate=2.0, prompt_tokens=(200, 3000)
    ),
    "kestrelvlei": _make_shape(
        "kestrelvlei",
        pieces=8000,
        call_rate=1.0,
        prompt_tokens=(1000, 12_000),
    ),
}
