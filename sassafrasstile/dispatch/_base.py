"""Sizes and settings."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkSize:
    """How much a generation asks of an engine.

    Attributes:
        prompt_tokens: Tokens of its prompt.
        output_tokens: Tokens that it is expected to generate.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Tokens of KV memory at its end."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatchSettings:
    """Settings of the decisions.

    Attributes:
        retry_ratio: Retries a service gets at the most, as a share of its
            requests in a window.
        retry_slack: Retries that this gateway may add to that share.
        retry_window_s: The window's length in seconds.
        silence_s: Seconds without a byte after which an endpoint that owes
            an answer is taken for unreachable.
        probe_s: Seconds between two probes of an unreachable endpoint.
        connect_timeout_s: Seconds until a connection must be up.
        prefill_share: The share of a service's engines that should prefill.
    """

    retry_ratio: float = 0.2
    retry_slack: int = 2
    retry_window_s: float = 10.0
    silence_s: float = 0.8
    probe_s: float = 0.5
    connect_timeout_s: float = 0.3
    prefill_share: float = 0.2
