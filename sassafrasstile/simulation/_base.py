"""Types that the parts of the model share."""

from collections.abc import Mapping
import dataclasses

from sassafrasstile import membership
from sassafrasstile.simulation import _engines

# The name of the only service.
SERVICE = "engine"


@dataclasses.dataclass(kw_only=True, eq=False)
class RequestAttempt:
    """One attempt of a caller's request.

    Attributes:
        request_id: The id of the attempt.
        prompt_id: Identifies the prompt, the same in each attempt.
        prompt_tokens: Length of the prompt.
        output_tokens: Length that the output will have.
        declared_tokens: Maximum output length that the caller declares.
        arrived_at: Arrival time, in seconds.
        deadline: Time at which the caller disconnects, in seconds.
        target_s: Target for the time to the first token.
        rank: Its rank; 0 is the most urgent.
        first_event_at: Time of the first event, or None.
        last_event_at: Time of the last event, or None.
        longest_gap_s: The longest time between two events.
        events: The number of events.
    """

    request_id: str
    prompt_id: str
    prompt_tokens: int
    output_tokens: int
    declared_tokens: int
    arrived_at: float
    deadline: float
    target_s: float
    rank: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap_s: float = 0.0
    events: int = 0

    def record_event(self, now: float) -> None:
        """Records an event that has reached the caller."""
        self.events += 1
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at = now


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pools:
    """The engines of a site.

    Attributes:
        prefills: The prefill engines by name.
        decodes: The decode engines by name.
        records: The engines' endpoint records.
    """

    prefills: Mapping[str, _engines.PrefillEngine]
    decodes: Mapping[str, _engines.DecodeEngine]
    records: tuple[membership.EndpointRecord, ...]
