"""The liveness source `none`: no list."""

from sassafrasstile import plugins
from sassafrasstile.liveness import _base


@plugins.register(plugins.Kind.LIVENESS, "none")
class NoLiveness(_base.LivenessSource):
    """Reports nothing; endpoints then leave by their sidecar's word only.

    Args:
        reactor: The reactor, unused.
        url: The base URL, unused.
        poll_s: Seconds between reads, unused.
    """

    def __init__(self, *, reactor, url: str, poll_s: float):
        self.url = url

    def start(self, on_states):
        """Does nothing."""

    def close(self):
        """Does nothing."""
