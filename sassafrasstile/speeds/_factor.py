"""How much slower or faster than a typical one an endpoint is."""

import math

# Typical durations count as much as this many observations.
_PRIOR_WEIGHT = 1.5
# Weight of all former observations after each new one.
_MEMORY = 0.95
# Observations count half after this time, so that doubt returns.
_DOUBT_HALF_LIFE_S = 120.0
# What an endpoint has just now is forgotten by half in this time.
_SPELL_HALF_LIFE_S = 1.0
# Weight of the newest observation in what it has just now.
_SPELL_WEIGHT = 0.5
# An endpoint that seems to be known counts as deviating beyond this logarithm.
_DEVIATION = 0.5
# What deviates counts this much for what the endpoint is.
_DEVIATION_WEIGHT = 0.3
# An endpoint is known after this many observations.
_KNOWN_WEIGHT = 3.0
# Bounds of the logarithm: no endpoint is believed to be much faster than the
# others, since one that lies would get all the work.
_MIN_LOG = -math.log(4.0)
_MAX_LOG = math.log(16.0)


class Factor:
    """An endpoint's duration as a multiple of the typical one.

    It has two memories: what the endpoint is, and what it has just now, which
    is forgotten soon. A slow spell hardly changes what the endpoint is.

    >>> factor = Factor()
    >>> factor.estimate(0.0)
    1.0
    >>> for second in range(20):
    ...     factor.add(2.0, float(second))
    >>> round(factor.estimate(20.0), 1)
    1.9
    >>> factor.add(8.0, 21.0)
    >>> factor.estimate(21.0) > 3.0, factor.estimate(40.0) < 2.3
    (True, True)
    """

    def __init__(self):
        self._sum = 0.0
        self._weight = 0.0
        self._spell = 0.0
        self._updated_at = 0.0

    def get_weight(self, now: float) -> float:
        """Returns how many observations it rests on, the old ones less."""
        age_s = max(0.0, now - self._updated_at)
        return self._weight * 0.5 ** (age_s / _DOUBT_HALF_LIFE_S)

    def get_age_s(self, now: float) -> float:
        """Returns the seconds since the last observation."""
        return max(0.0, now - self._updated_at)

    def estimate_log(self, now: float, *, prior_log: float = 0.0) -> float:
        """Returns the logarithm of what the endpoint is.

        Args:
            now: The time in seconds.
            prior_log: What is assumed without observations.
        """
        weight = self.get_weight(now)
        share = weight / (weight + _PRIOR_WEIGHT)
        mean = self._sum / self._weight if self._weight else 0.0
        return share * mean + (1 - share) * prior_log

    def estimate(self, now: float, *, prior_log: float = 0.0) -> float:
        """Returns the multiple that is expected now.

        Args:
            now: The time in seconds.
            prior_log: The logarithm that is assumed without observations.
        """
        spell = self._decay_spell(now)
        return math.exp(self.estimate_log(now, prior_log=prior_log) + spell)

    def add(self, ratio: float, now: float) -> None:
        """Adds an observation.

        Args:
            ratio: The observed duration divided by the typical one.
            now: The time in seconds.
        """
        observed = min(_MAX_LOG, max(_MIN_LOG, math.log(max(1e-9, ratio))))
        weight = self.get_weight(now)
        known = self._sum / self._weight if self._weight else 0.0
        deviation = observed - known
        spell = self._decay_spell(now)
        count = 1.0
        if weight >= _KNOWN_WEIGHT:
            if abs(deviation) > _DEVIATION:
                count = _DEVIATION_WEIGHT
            spell += _SPELL_WEIGHT * (max(0.0, deviation) - spell)
        self._spell = spell if spell > 0.01 else 0.0
        self._sum = _MEMORY * known * weight + count * observed
        self._weight = _MEMORY * weight + count
        self._updated_at = max(self._updated_at, now)

    def _decay_spell(self, now: float) -> float:
        return self._spell * 0.5 ** (self.get_age_s(now) / _SPELL_HALF_LIFE_S)
