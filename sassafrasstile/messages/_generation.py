"""Messages of a generation request."""

import dataclasses

from sassafrasstile.messages import _base


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reserve(_base.Attempted):
    """Asks a decode sidecar for memory before the prefill starts.

    Attributes:
        model: The model's name.
        tokens: Prompt plus output at the most.
        priority: Lower numbers go first.
        wait_s: Seconds that the request may wait at the sidecar for memory.
    """

    model: str
    tokens: int
    priority: int = 0
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefill(_base.Attempted):
    """Starts a prefill.

    Attributes:
        model: The model's name.
        prompt: The prompt's text.
        prompt_tokens: Its length, tokens already sent included.
        priority: Lower numbers go first.
        sent: Tokens that the caller already has; they follow the prompt.
    """

    model: str
    prompt: str
    prompt_tokens: int
    priority: int = 0
    sent: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decode(_base.Attempted):
    """Starts a decode in memory reserved earlier.

    Attributes:
        model: The model's name.
        prompt: The prompt's text.
        prompt_tokens: Its length, tokens already sent included.
        max_tokens: Output at the most, tokens already sent included.
        priority: Lower numbers go first.
        sent: Tokens that the caller already has.
        source_address: The prefill engine that exports the KV cache.
        handle: The prefill result there.
        transfer_limit_s: Seconds after which the transfer is given up.
    """

    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    sent: tuple[str, ...] = ()
    source_address: str = ""
    handle: str = ""
    transfer_limit_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel(_base.Attempted):
    """Releases whatever an attempt holds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resume(_base.Attempted):
    """Asks for the rest of an answer whose gateway was lost.

    Attributes:
        offset: Tokens that the caller already has.
    """

    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reserved(_base.Attempted):
    """The memory asked for is held under the gateway's lease."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefilled(_base.Attempted):
    """A prefill is done; its result is evicted in under a second.

    Attributes:
        source_address: The engine that exports the result.
        handle: The result's handle there.
        computed_tokens: Tokens computed, those from the cache not counted.
        took_s: Seconds from the start of the work to its end.
    """

    source_address: str
    handle: str
    computed_tokens: int
    took_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pieces(_base.Attempted):
    """Consecutive tokens of an answer.

    Attributes:
        offset: The index of the first one in the whole answer.
        texts: One text for each token.
    """

    offset: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished(_base.Attempted):
    """An answer is whole.

    Attributes:
        tokens: The whole answer's length.
        reason: `stop` or `length`.
    """

    tokens: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resumed(_base.Attempted):
    """A sidecar has the answer that a gateway asked to resume.

    Attributes:
        previous: The attempt that produced it.
        tokens: Tokens that the sidecar has so far.
    """

    previous: int
    tokens: int
