"""The policy `random`."""

from sassafrasstile import plugins
from sassafrasstile.policies import _base


@plugins.register(plugins.Kind.POLICY, "random")
class Random(_base.Policy):
    """Chooses any candidate with equal probability."""

    def choose(self, candidates, *, request, now):
        """Chooses one of the candidates."""
        return self.generator.choice(list(candidates))
