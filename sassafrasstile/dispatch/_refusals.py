"""Remembers refused prompts, so that a repeated request keeps its age."""

import collections
from collections.abc import Iterable
import dataclasses

from sassafrasstile import peers

# Longer than callers wait for an answer.
_LIFETIME_S = 30.0
_MAX_PROMPTS = 10_000
# Longer ids are ignored. Callers choose them, and a report has to fit into a
# datagram.
_MAX_ID_CHARS = 64
# Other gateways are told of a refusal for this long, in several reports, since
# any of them may be lost.
_TELL_S = 1.5
# Maximum number of refusals in one report.
_MAX_TOLD = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class _OwnRefusal:
    prompt_id: str
    arrived_at: float
    refused_at: float


class RefusalMemory:
    """The prompts of generations that any gateway has refused lately.

    A refused caller sends its request again, mostly to another gateway. Its
    target counts from the first attempt, so the repeated request mustn't take
    capacity from one that can still be on time.

    >>> refusals = RefusalMemory()
    >>> refusals.record("p1", arrived_at=1.0, now=3.0)
    >>> refusals.find_first_arrival("p1", arrived_at=4.0)
    1.0
    >>> refusals.find_first_arrival("p2", arrived_at=4.0)
    4.0
    """

    def __init__(self):
        self._arrivals: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._own: collections.deque[_OwnRefusal] = collections.deque(
            maxlen=_MAX_TOLD
        )

    def record(self, prompt_id: str, *, arrived_at: float, now: float) -> None:
        """Records a refusal by this gateway.

        Args:
            prompt_id: Identifies the prompt; nothing is recorded if it is empty
                or too long.
            arrived_at: When the first attempt arrived, in seconds.
            now: The time in seconds.
        """
        if not prompt_id or len(prompt_id) > _MAX_ID_CHARS:
            return
        self._add(prompt_id, arrived_at)
        self._own.append(
            _OwnRefusal(
                prompt_id=prompt_id, arrived_at=arrived_at, refused_at=now
            )
        )

    def apply(
        self, refusals: Iterable[peers.PromptRefusal], now: float
    ) -> None:
        """Records refusals by another gateway."""
        for refusal in refusals:
            self._add(refusal.prompt_id, now - refusal.age_s)

    def list_recent(self, now: float) -> tuple[peers.PromptRefusal, ...]:
        """Returns this gateway's latest refusals, to tell the others."""
        return tuple(
            peers.PromptRefusal(
                prompt_id=item.prompt_id, age_s=now - item.arrived_at
            )
            for item in self._own
            if now - item.refused_at < _TELL_S
        )

    def find_first_arrival(self, prompt_id: str, *, arrived_at: float) -> float:
        """Returns when the first attempt at a request arrived, in seconds.

        Args:
            prompt_id: Identifies the prompt.
            arrived_at: When this attempt arrived, in seconds. It is the first
                one if no refusal is known.
        """
        known = self._arrivals.get(prompt_id)
        if known is None or arrived_at - known > _LIFETIME_S:
            return arrived_at
        return known

    def _add(self, prompt_id: str, arrived_at: float) -> None:
        self._arrivals[prompt_id] = min(
            arrived_at,
            self.find_first_arrival(prompt_id, arrived_at=arrived_at),
        )
        while len(self._arrivals) > _MAX_PROMPTS:
            self._arrivals.popitem(last=False)
