"""Sizes of the sites and speeds of their engines."""

from collections.abc import Mapping
import dataclasses
import math
import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """The speed and the capacity of one engine.

    Attributes:
        slots: Maximum number of requests.
        memory_tokens: Maximum number of KV cache tokens.
        step_s: Seconds of a decode step without requests.
        step_request_s: Seconds that each running request adds to a step.
        prefill_tokens_per_s: Prefill speed of a prefill engine.
        local_prefill_tokens_per_s: Prefill speed of a decode engine.
        local_prefill_chunk_tokens: Maximum number of tokens that a decode
            engine prefills in one step.
        link_tokens_per_s: Transfer speed of KV cache.
        handle_ttl_s: Seconds until the handle of a finished prefill expires.
        tokens_per_event: Tokens in one event of a stream.
        hold_s: Seconds for which a decode engine sets memory aside at most.
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
    hold_s: float = 2.0

    def scale(self, speed: float) -> "EngineProfile":
        """Returns the profile of an engine that computes faster.

        Args:
            speed: The factor; links aren't affected.
        """
        return dataclasses.replace(
            self,
            step_s=self.step_s / speed,
            step_request_s=self.step_request_s / speed,
            prefill_tokens_per_s=self.prefill_tokens_per_s * speed,
            local_prefill_tokens_per_s=(
                self.local_prefill_tokens_per_s * speed
            ),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankProfile:
    """The requests of one rank.

    Attributes:
        rank: The rank; 0 is the most urgent.
        share: Their share of all requests.
        target_s: Target for the time to the first token.
    """

    rank: int
    share: float
    target_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteProfile:
    """A site and the requests of its callers.

    Attributes:
        zones: Availability zones; gateways and engines are spread over them.
        gateways: Number of gateways.
        prefills: Number of prefill engines.
        decodes: Number of decode engines.
        engine: Speed and capacity of an engine of speed one.
        speeds: Relative speeds of the engines, which take them in turn.
        prompt_tokens: Mean length of a prompt.
        prompt_sigma: Standard deviation of the logarithm of prompt lengths.
        max_prompt_tokens: Maximum length of a prompt.
        output_tokens: Mean length of an output.
        output_sigma: Standard deviation of the logarithm of output lengths.
        max_output_tokens: Maximum length of an output, which callers declare.
        target_s: Target for the time to the first token.
        gap_s: Target for the time between two events.
        deadline_s: Seconds until a caller disconnects.
        retry_slack: Retries that all gateways together may add in each window
            to their share of the requests.
        late_weight: Weight of a late answer in the goodput; one on time
            counts as 1.
        ranks: The ranks of requests, if there are several; their targets take
            the place of `target_s`.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    gateways: int = 5
    prefills: int = 2
    decodes: int = 7
    engine: EngineProfile = EngineProfile()
    speeds: tuple[float, ...] = (1.0,)
    prompt_tokens: float = 5200.0
    prompt_sigma: float = 0.5
    max_prompt_tokens: int = 11_300
    output_tokens: float = 500.0
    output_sigma: float = 0.7
    max_output_tokens: int = 1190
    target_s: float = 0.9
    gap_s: float = 0.3
    deadline_s: float = 14.0
    retry_slack: float = 20.0
    late_weight: float = 0.2
    ranks: tuple[RankProfile, ...] = ()

    def scale_time(self, factor: float) -> "SiteProfile":
        """Returns a site where all but the network takes longer.

        Args:
            factor: The factor of each duration.
        """
        engine = self.engine.scale(1 / factor)
        engine = dataclasses.replace(
            engine,
            handle_ttl_s=factor * engine.handle_ttl_s,
            hold_s=factor * engine.hold_s,
        )
        return dataclasses.replace(
            self,
            engine=engine,
            target_s=factor * self.target_s,
            gap_s=factor * self.gap_s,
            deadline_s=factor * self.deadline_s,
            ranks=tuple(
                dataclasses.replace(rank, target_s=factor * rank.target_s)
                for rank in self.ranks
            ),
        )

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the site can serve.

        The minimum of the rates that the decode engines' memory, their slots
        and the prefill engines allow.
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
        "uneven": SiteProfile(
            prefills=3,
            decodes=9,
            engine=EngineProfile(memory_tokens=42_492),
            speeds=(0.6, 1.0, 1.6),
        ),
        "one-fast": SiteProfile(
            gateways=26,
            prefills=5,
            decodes=19,
            engine=EngineProfile(memory_tokens=42_492),
            speeds=(1.0, 1.0, 1.0, 1.0, 2.0),
        ),
        "uneven-grown": SiteProfile(
            gateways=26,
            prefills=5,
            decodes=19,
            engine=EngineProfile(
                memory_tokens=42_492, link_tokens_per_s=1_280_000.0
            ),
            speeds=(0.6, 1.0, 1.6),
            target_s=0.92,
            deadline_s=14.3,
        ),
        "fellesvarsel-large": SiteProfile(
            zones=("a", "b", "c", "d", "e"),
            gateways=68,
            prefills=12,
            decodes=48,
            engine=EngineProfile(
                memory_tokens=40_376, link_tokens_per_s=1_280_000.0
            ),
            target_s=0.91,
            deadline_s=14.2,
        ),
        "amman": SiteProfile(
            gateways=6,
            prefills=3,
            decodes=5,
            engine=EngineProfile(
                memory_tokens=48_649,
                step_s=0.00309,
                step_request_s=0.0000165,
                link_tokens_per_s=1_370_000.0,
                tokens_per_event=14,
            ),
            output_tokens=980.0,
            max_output_tokens=2380,
            target_s=0.8,
            retry_slack=88.0,
            ranks=(
                RankProfile(rank=0, share=0.24, target_s=0.8),
                RankProfile(rank=1, share=0.32, target_s=1.0),
                RankProfile(rank=2, share=0.44, target_s=2.0),
            ),
        ),
    }
)
