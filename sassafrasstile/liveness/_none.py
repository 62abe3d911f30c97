"""The liveness source `none`: no VM states."""

from sassafrasstile import plugins
from sassafrasstile.liveness import _base


@plugins.register(plugins.Kind.LIVENESS, "none")
class NoLiveness(_base.LivenessSource):
    """Reports nothing, so only sidecars announce that endpoints are leaving.

    Args:
        reactor: The reactor, unused.
        url: The base URL, unused.
        poll_s: Interval between polls in seconds, unused.
    """

    def __init__(self, *, reactor, url: str, poll_s: float):
        self.url = url

    def start(self, on_states):
        """Does nothing."""

    def close(self):
        """Does nothing."""
