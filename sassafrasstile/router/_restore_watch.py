"""Decides when a restored store shows again which keys are valid."""

from collections.abc import Callable, Collection

from sassafrasstile import stores

# The configuration that a restored store has lost is written again by then.
_MAX_WAIT_S = 6.0
# An earlier report may have been sent before its sender knew of the version
# that the store has lost.
_MAX_TRANSIT_S = 0.5


class RestoreWatch:
    """Waits for the versions of all peers after the store was restored.

    The copy may lack a version that withdraws a key. Any peer may know of it,
    also one that isn't heard of now, so no call to the store confirms a
    configuration until each known peer has told its version. The wait is
    bounded, and none is needed while the store was never restored.

    Args:
        reactor: The reactor.
        epochs: The store's epoch.
        list_peers: Returns the names of the known peers, also silent ones, or
            None before they are known.
        count_lost: Returns how many more fell silent and may still serve.
    """

    def __init__(
        self,
        *,
        reactor,
        epochs: stores.EpochMonitor,
        list_peers: Callable[[], Collection[str] | None],
        count_lost: Callable[[], int] = lambda: 0,
    ):
        self._reactor = reactor
        self._epochs = epochs
        self._list_peers = list_peers
        self._count_lost = count_lost
        self._heard: set[str] = set()
        self._began_at = reactor.seconds()
        self._is_over = False
        epochs.subscribe(self._begin)

    def record_peer(self, name: str) -> None:
        """Records that a peer has told its version."""
        if self._measure_waited_s() >= _MAX_TRANSIT_S:
            self._heard.add(name)

    def may_rely_on_store(self) -> bool:
        """Returns whether the store may confirm the configuration."""
        if not self._epochs.may_be_restored:
            return True
        self._is_over = self._is_over or self._has_heard_all()
        return self._is_over

    def _begin(self, _epoch: int) -> None:
        self._heard.clear()
        self._began_at = self._reactor.seconds()
        self._is_over = False

    def _has_heard_all(self) -> bool:
        if self._measure_waited_s() >= _MAX_WAIT_S:
            return True
        names = self._list_peers()
        if names is None or self._count_lost():
            return False
        return self._heard.issuperset(names)

    def _measure_waited_s(self) -> float:
        return self._reactor.seconds() - self._began_at
