"""The interface of liveness sources."""

import abc
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmStates:
    """The VM states reported by the platform, which may be out of date.

    Attributes:
        live: VMs that are running.
        leaving: VMs that will be stopped soon.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class LivenessSource(abc.ABC):
    """Polls the VM states of the platform."""

    @abc.abstractmethod
    def start(self, on_states: Callable[[VmStates], None]) -> None:
        """Starts polling and passes each result to `on_states`."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stops polling."""
