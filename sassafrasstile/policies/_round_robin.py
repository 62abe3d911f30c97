"""The policy `round_robin`."""

from sassafrasstile import plugins
from sassafrasstile.policies import _base


@plugins.register(plugins.Kind.POLICY, "round_robin")
class RoundRobin(_base.Policy):
    """Chooses the least recently chosen candidate.

    Args:
        generator: The source of random numbers, unused.
    """

    def __init__(self, *, generator):
        super().__init__(generator=generator)
        self._choice_count = 0
        self._chosen_at: dict[str, int] = {}

    def choose(self, candidates, *, request, now):
        """Chooses one of the candidates."""
        self._choice_count += 1
        chosen = min(
            candidates,
            key=lambda view: (self._chosen_at.get(view.name, 0), view.name),
        )
        self._chosen_at[chosen.name] = self._choice_count
        return chosen
