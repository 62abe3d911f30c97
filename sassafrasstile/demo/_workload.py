"""The demo's workload."""

import dataclasses
import random

SITE_NAMES = ("fellesvarsel", "kestrelvlei")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One request of the workload, which may be sent repeatedly.

    Attributes:
        at_s: When the step is sent, in seconds from the start.
        kind: `draft`, `chat`, `lookup` or `booking`.
        prompt: The prompt of a draft or chat.
        max_tokens: The maximum number of output tokens.
        key: The idempotency key of a booking.
        repeats: How often a booking is sent, through the gateways in turn.
        disconnects_after_s: Seconds after which the caller disconnects, or
            None.
    """

    at_s: float
    kind: str
    prompt: str = ""
    max_tokens: int = 48
    key: str = ""
    repeats: int = 1
    disconnects_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mix:
    """The parameters of a site's workload.

    Attributes:
        steps: The number of steps.
        rate: Mean number of steps per second.
        kinds: The kinds to sample from; repeated kinds are more frequent.
        prompt_words: The minimum and maximum number of words in a prompt.
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
_DISCONNECT_SHARE = 0.1


def make_workload(site: str, generator: random.Random) -> list[Step]:
    """Returns a short mixed workload.

    Args:
        site: A site name from `SITE_NAMES`.
        generator: The random number generator.
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
    disconnects_after_s = None
    if generator.random() < _DISCONNECT_SHARE:
        disconnects_after_s = generator.uniform(0.01, 0.5)
    return Step(
        at_s=at_s,
        kind=kind,
        prompt=f"{index}: " + " ".join(words),
        disconnects_after_s=disconnects_after_s,
    )
