"""The demo's callers."""

import dataclasses
import random

SITE_NAMES = ("fellesvarsel", "kestrelvlei")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One request of the workload.

    Attributes:
        at_s: When it is sent, in seconds from the start.
        kind: `draft`, `chat`, `lookup` or `booking`.
        prompt: The prompt of a draft.
        max_tokens: Output tokens at the most.
        key: The idempotency key of a booking.
        repeats: Times that a booking is sent, through several gateways.
        leaves_after_s: When the caller hangs up, or None.
    """

    at_s: float
    kind: str
    prompt: str = ""
    max_tokens: int = 48
    key: str = ""
    repeats: int = 1
    leaves_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mix:
    """How a site's callers behave.

    Attributes:
        steps: Requests.
        rate: Requests a second.
        kinds: The kinds, each as often as it stands here.
        prompt_words: Words in a prompt, at least and at most.
    """

    steps: int
    rate: float
    kinds: tuple[str, ...]
    prompt_words: tuple[int, int]


_MIXES = {
    "fellesvarsel": Mix(
        steps=80,
        rate=20.0,
        kinds=("draft", "draft", "chat", "lookup", "booking"),
        prompt_words=(50, 600),
    ),
    "kestrelvlei": Mix(
        steps=60,
        rate=15.0,
        kinds=("draft", "draft", "draft", "lookup", "booking"),
        prompt_words=(300, 3000),
    ),
}
_VOCABULARY = "gas cooker valve inspection flat dose margin cosmetic"
_PROMPT_WORDS = tuple(_VOCABULARY.split())
_LEAVING_SHARE = 0.1


def make_workload(site: str, generator: random.Random) -> list[Step]:
    """Returns a short mixed workload.

    Args:
        site: One of `SITE_NAMES`.
        generator: The source of random numbers.
    """
    mix = _MIXES[site]
    steps = []
    at_s = 0.0
    for index in range(mix.steps):
        at_s += generator.expovariate(mix.rate)
        steps.append(_make_step(mix, index, at_s, generator))
    return steps


def _make_step(
    mix: Mix, index: int, at_s: float, generator: random.Random
) -> Step:
    kind = generator.choice(mix.kinds)
    match kind:
        case "lookup":
            return Step(at_s=at_s, kind=kind)
        case "booking":
            return Step(
                at_s=at_s,
                kind=kind,
                key=f"booking-{index}",
                repeats=generator.choice((1, 1, 2, 3)),
            )
        case _:
            return _make_draft(mix, kind, index, at_s, generator)


def _make_draft(
    mix: Mix, kind: str, index: int, at_s: float, generator: random.Random
) -> Step:
    count = generator.randint(*mix.prompt_words)
    words = generator.choices(_PROMPT_WORDS, k=count)
    leaves_after_s = None
    if generator.random() < _LEAVING_SHARE:
        leaves_after_s = generator.uniform(0.01, 0.5)
    return Step(
        at_s=at_s,
        kind=kind,
        prompt=f"{index}: " + " ".join(words),
        leaves_after_s=leaves_after_s,
    )
