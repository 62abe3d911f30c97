"""Remembers refused prompts, so that a repeated request keeps its age."""

import collections
from collections.abc import Iterable
import dataclasses

from sassafrasstile import peers

# All attempts at a request end at the caller's deadline, give or take the time
# that messages are on their way. A request with a later one is another request,
# for example the next one of a session.
_DEADLINE_TOLERANCE_S = 0.5
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
class _Refusal:
    prompt_id: str
    arrived_at: float
    deadline: float
    refused_at: float


class RefusalMemory:
    """The prompts of generations that any gateway has refused lately.

    A refused caller sends its request again, mostly to another gateway. Its
    target counts from the first attempt, so the repeated request mustn't take
    capacity from one that can still be on time.

    >>> refusals = RefusalMemory()
    >>> refusals.record("p1", arrived_at=1.0, deadline=15.0, now=3.0)
    >>> refusals.find_first_arrival("p1", arrived_at=4.0, deadline=15.0)
    1.0
    >>> refusals.find_first_arrival("p1", arrived_at=4.0, deadline=18.0)
    4.0
    """

    def __init__(self):
        self._known: collections.OrderedDict[str, _Refusal] = (
            collections.OrderedDict()
        )
        self._own: collections.deque[_Refusal] = collections.deque(
            maxlen=_MAX_TOLD
        )

    def record(
        self, prompt_id: str, *, arrived_at: float, deadline: float, now: float
    ) -> None:
        """Records a refusal by this gateway.

        Args:
            prompt_id: Identifies the prompt; nothing is recorded if it is empty
                or too long.
            arrived_at: When the first attempt arrived, in seconds.
            deadline: When the caller gives up, in seconds.
            now: The time in seconds.
        """
        if not prompt_id or len(prompt_id) > _MAX_ID_CHARS:
            return
        refusal = _Refusal(
            prompt_id=prompt_id,
            arrived_at=arrived_at,
            deadline=deadline,
            refused_at=now,
        )
        self._add(refusal)
        self._own.append(refusal)

    def apply(
        self, refusals: Iterable[peers.PromptRefusal], now: float
    ) -> None:
        """Records refusals by another gateway."""
        for refusal in refusals:
            self._add(
                _Refusal(
                    prompt_id=refusal.prompt_id,
                    arrived_at=now - refusal.age_s,
                    deadline=now + refusal.remaining_s,
                    refused_at=now,
                )
            )

    def list_recent(self, now: float) -> tuple[peers.PromptRefusal, ...]:
        """Returns this gateway's latest refusals, to tell the others."""
        return tuple(
            peers.PromptRefusal(
                prompt_id=item.prompt_id,
                age_s=now - item.arrived_at,
                remaining_s=item.deadline - now,
            )
            for item in self._own
            if now - item.refused_at < _TELL_S
        )

    def find_first_arrival(
        self, prompt_id: str, *, arrived_at: float, deadline: float
    ) -> float:
        """Returns when the first attempt at a request arrived, in seconds.

        Args:
            prompt_id: Identifies the prompt.
            arrived_at: When this attempt arrived, in seconds. It is the first
                one if no refusal is known.
            deadline: When the caller gives up, in seconds.
        """
        known = self._known.get(prompt_id)
        if known is None or deadline > known.deadline + _DEADLINE_TOLERANCE_S:
            return arrived_at
        return min(known.arrived_at, arrived_at)

    def _add(self, refusal: _Refusal) -> None:
        first_arrival = self.find_first_arrival(
            refusal.prompt_id,
            arrived_at=refusal.arrived_at,
            deadline=refusal.deadline,
        )
        self._known[refusal.prompt_id] = dataclasses.replace(
            refusal, arrived_at=first_arrival
        )
        while len(self._known) > _MAX_PROMPTS:
            self._known.popitem(last=False)
