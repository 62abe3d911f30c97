"""The policy `least_loaded`."""

from sassafrasstile import plugins
from sassafrasstile.policies import _base


@plugins.register(plugins.Kind.POLICY, "least_loaded")
class LeastLoaded(_base.Policy):
    """Chooses the candidate with the lowest estimated load."""

    def choose(self, candidates, *, request, now):
        """Chooses one of the candidates."""
        return min(
            candidates,
            key=lambda view: (_base.estimate_load(view), view.name),
        )
