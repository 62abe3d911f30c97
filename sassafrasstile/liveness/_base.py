"""The contract of liveness sources."""

import abc
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmStates:
    """What the platform says of its VMs, with a lag.

    Attributes:
        live: VMs that run.
        leaving: VMs that will be stopped soon.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class LivenessSource(abc.ABC):
    """Reads the platform's list again and again."""

    @abc.abstractmethod
    def start(self, on_states: Callable[[VmStates], None]) -> None:
        """Starts to read, and reports each list read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stops reading."""
