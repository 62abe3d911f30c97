"""Messages of a generation request."""

import dataclasses

from sassafrasstile.messages import _base


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reserve(_base.Attempted):
    """Asks a decode sidecar to reserve memory before the prefill starts.

    Attributes:
        model: The model's name.
        tokens: Maximum number of tokens of prompt and output together.
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
        sent: Tokens that the caller already has; they follow the prompt, and
            the engine prefills them too.
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
        max_tokens: Maximum length of the output, tokens already sent included.
        priority: Lower numbers go first.
        sent: Tokens that the caller already has; they follow the prompt.
        source_address: The prefill engine that exports the KV cache.
        handle: The handle of the prefill result at that engine.
        transfer_limit_s: The timeout of the transfer in seconds.
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
    """Releases everything that an attempt holds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resume(_base.Attempted):
    """Asks for the rest of an answer whose gateway was lost.

    Attributes:
        offset: Tokens that the caller already has.
    """

    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reserved(_base.Attempted):
    """The requested memory is reserved under the gateway's lease."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prefilled(_base.Attempted):
    """A prefill is complete. Its result is evicted in under a second.

    Attributes:
        source_address: The engine that exports the KV cache.
        handle: The handle of the prefill result at that engine.
        computed_tokens: Tokens computed, without those from the cache.
        took_s: Seconds from the start of the prefill to its end.
    """

    source_address: str
    handle: str
    computed_tokens: int
    took_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pieces(_base.Attempted):
    """Consecutive tokens of an answer.

    Attributes:
        offset: The index of the first token in the complete answer.
        texts: One text for each token.
    """

    offset: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished(_base.Attempted):
    """An answer is complete.

    Attributes:
        tokens: The length of the complete answer.
        reason: `stop` or `length`.
    """

    tokens: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resumed(_base.Attempted):
    """A sidecar has the answer that a gateway asked to resume.

    Attributes:
        previous: The attempt that produced the answer.
        tokens: Number of tokens that the sidecar has so far.
    """

    previous: int
    tokens: int
