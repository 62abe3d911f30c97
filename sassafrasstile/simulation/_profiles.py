"""How large sites are, and how fast their engines."""

from collections.abc import Mapping
import dataclasses
import math
import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """What one engine does in a second, and what it holds.

    Attributes:
        slots: Requests at the most.
        memory_tokens: Tokens of KV cache at the most.
        step_s: Seconds of a decode step without requests.
        step_request_s: Seconds that each running request adds to it.
        prefill_tokens_per_s: Prompt tokens that a prefill engine reads.
        self_read_tokens_per_s: Prompt tokens that a decode engine reads.
        self_read_piece: Tokens that it reads between two of its steps.
        link_tokens_per_s: Tokens of KV cache that a link carries.
        handle_ttl_s: Seconds for which a finished prefill is kept.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int = 64
    memory_tokens: int = 51_867
    step_s: float = 0.00561
    step_request_s: float = 0.0001
    prefill_tokens_per_s: float = 55_556.0
    local_prefill_tokens_per_s: float = 27_778.0
    local_prefill_chunk_tokens: int = 1024
    link_tokens_per_s: float = 1_350_000.0
    handle_ttl_s: float = 0.5
    tokens_per_event: int = 7


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteProfile:
    """A site and what its callers send.

    Attributes:
        zones: Availability zones; gateways and engines are spread over them.
        gateways: Gateways.
        prefills: Prefill engines.
        decodes: Decode engines.
        engine: What each engine does.
        prompt_tokens: The mean prompt.
        prompt_spread: The deviation of the prompts' logarithms.
        prompt_most: The longest prompt.
        output_tokens: The mean output.
        output_spread: The deviation of the outputs' logarithms.
        output_most: The longest output, which callers declare.
        target_s: First tokens are on time until then.
        gap_s: The longest pause between events that is on time.
        deadline_s: Callers wait so long.
        late_worth: What a late answer is worth, against one on time.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    gateways: int = 5
    prefills: int = 2
    decodes: int = 7
    engine: EngineProfile = EngineProfile()
    prompt_tokens: float = 5200.0
    prompt_sigma: float = 0.5
    max_prompt_tokens: int = 11_300
    output_tokens: float = 500.0
    output_sigma: float = 0.7
    max_output_tokens: int = 1190
    target_s: float = 0.9
    gap_s: float = 0.3
    deadline_s: float = 14.0
    late_weight: float = 0.2

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that the site can carry.

        The least of what the decode engines' memory holds, what their slots
        hold and what the prefill engines read.
        """
        engine = self.engine
        held_tokens = self.prompt_tokens + self.output_tokens
        concurrency = min(engine.slots, engine.memory_tokens / held_tokens)
        step_s = engine.step_s + engine.step_request_s * concurrency
        held_s = self.output_tokens * step_s
        held_s += self.prompt_tokens / engine.prefill_tokens_per_s
        prefill_rate = (
            self.prefills * engine.prefill_tokens_per_s / self.prompt_tokens
        )
        return min(
            math.floor(concurrency) * self.decodes / held_s, prefill_rate
        )


SITES: Mapping[str, SiteProfile] = types.MappingProxyType(
    {
        "fellesvarsel": SiteProfile(),
        "kestrelvlei": SiteProfile(
            gateways=3,
            prefills=2,
            decodes=4,
            engine=EngineProfile(memory_tokens=58_219),
        ),
        "fellesvarsel-grown": SiteProfile(
            gateways=26,
            prefills=5,
            decodes=19,
            engine=EngineProfile(
                memory_tokens=37_992, link_tokens_per_s=1_280_000.0
            ),
            target_s=0.92,
            deadline_s=14.3,
        ),
    }
)
