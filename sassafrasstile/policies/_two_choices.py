"""The policy `two_choices`."""

from sassafrasstile import plugins
from sassafrasstile.policies import _base


@plugins.register(plugins.Kind.POLICY, "two_choices")
class TwoChoices(_base.Policy):
    """Samples two candidates and chooses the less loaded one.

    Gateways with the same stale reports then don't all choose the same
    endpoint, as they do with `least_loaded`.
    """

    def choose(self, candidates, *, request, now):
        """Chooses one of the candidates."""
        count = min(2, len(candidates))
        sampled = self.generator.sample(list(candidates), count)
        return min(sampled, key=_base.estimate_load)
