"""Request sizes and dispatch settings."""

import dataclasses

# The time between two events where a route has no target for it.
DEFAULT_MAX_GAP_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkSize:
    """The size of a generation in tokens, and its targets.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_tokens: Expected tokens of the output.
        target_s: Target for the time to its first token, in seconds.
        max_gap_s: Target for the time between two events, in seconds. The
            other streams of an engine are taken to have about the same.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    target_s: float = 0.9
    max_gap_s: float = DEFAULT_MAX_GAP_S

    @property
    def memory_tokens(self) -> int:
        """KV cache in tokens that the generation occupies at its end."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatchSettings:
    """Settings of load balancing, retries and health checks.

    Attributes:
        retry_ratio: The maximum number of retries of a service, as a share
            of its requests in a window.
        retry_slack: Retries that all gateways together may add to that share
            in each window.
        retry_window_s: The length of the window in seconds.
        silence_timeout_s: Seconds without a byte after which an endpoint
            with pending requests is considered unreachable.
        probe_interval_s: Seconds between two probes of an unreachable
            endpoint.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        prefill_share: The share of a service's engines that should have the
            prefill role.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    silence_timeout_s: float = 0.8
    probe_interval_s: float = 0.5
    connect_timeout_s: float = 0.3
    prefill_share: float = 0.2
