"""Holds a starting gateway back while its peers have a newer configuration."""

from collections.abc import Callable
import logging

from sassafrasstile import stores

_LOG = logging.getLogger("sassafrasstile.router")
# A starting gateway hears from a peer within this time, if there is one.
_MAX_REPORT_WAIT_S = 1.0
# The configuration that a restored store has lost is written again by then.
_MAX_VERSION_WAIT_S = 6.0


class StartGate:
    """Decides whether the configuration read at the start can be relied on.

    A store that was restored from a copy may hold an older configuration than
    the one in force. A gateway that starts meanwhile knows no other, but its
    peers tell their versions. The wait is bounded, and none is needed while the
    store was never restored.

    Args:
        reactor: The reactor.
        epochs: The store's epoch.
        read_configuration_version: Returns the version in force here, or None
            before there is one.
        count_gateways: Returns the number of gateways, or None before it is
            known.
    """

    def __init__(
        self,
        *,
        reactor,
        epochs: stores.EpochMonitor,
        read_configuration_version: Callable[[], int | None],
        count_gateways: Callable[[], int | None],
    ):
        self._reactor = reactor
        self._epochs = epochs
        self._read_configuration_version = read_configuration_version
        self._count_gateways = count_gateways
        self._started_at = reactor.seconds()
        self._peer_version: int | None = None
        self._is_open = False

    def record_peer_configuration_version(self, version: int | None) -> None:
        """Records the version that a peer has in force, or None for none."""
        if version is not None:
            self._peer_version = max(version, self._peer_version or version)

    def is_open(self) -> bool:
        """Returns whether callers can be accepted; it never closes again."""
        version = self._read_configuration_version()
        if not self._is_open and version is not None:
            self._is_open = self._is_reliable(version)
        return self._is_open

    def _is_reliable(self, version: int) -> bool:
        if not self._epochs.may_be_restored or self._count_gateways() == 1:
            return True
        waited_s = self._reactor.seconds() - self._started_at
        if self._peer_version is None:
            return waited_s >= _MAX_REPORT_WAIT_S
        if version >= self._peer_version:
            return True
        if waited_s < _MAX_VERSION_WAIT_S:
            return False
        _LOG.warning(
            "router: peers have a newer configuration than the store.",
            extra={
                "version": version,
                "version_of_peers": self._peer_version,
            },
        )
        return True
