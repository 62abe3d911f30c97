"""The policy `two_choices`."""

from sassafrasstile import plugins
from sassafrasstile.policies import _base


@plugins.register(plugins.Kind.POLICY, "two_choices")
class TwoChoices(_base.Policy):
    """Draws two candidates and chooses the one with the smaller use.

    Gateways that share the same out-of-date reports don't all run to the
    same endpoint, as they do under `least_loaded`.
    """

    def choose(self, candidates, *, request, now):
        """Chooses one of the candidates."""
        count = min(2, len(candidates))
        drawn = self.generator.sample(list(candidates), count)
        return min(drawn, key=_base.estimate_use)
