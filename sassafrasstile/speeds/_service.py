"""Durations at a typical endpoint of one service."""

import math
import types

from sassafrasstile.speeds import _base
from sassafrasstile.speeds import _curve

# Weight of the newest observation in the mean factor of the endpoints.
_LEVEL_WEIGHT = 0.05
# The spread is exceeded by this share of the durations.
_EXCEEDING_SHARE = 0.1
# Change of its logarithm with each observation.
_SPREAD_STEP = 0.03

_ASSUMPTIONS = types.MappingProxyType(
    {
        _base.Kind.PREFILL: _curve.Assumption(
            offset_s=0.0, slope_s=1 / 50_000, usual_work=5000.0
        ),
        _base.Kind.ADMISSION: _curve.Assumption(
            offset_s=0.15, slope_s=1 / 50_000, usual_work=5000.0
        ),
        _base.Kind.LOCAL_PREFILL: _curve.Assumption(
            offset_s=0.02, slope_s=1 / 25_000, usual_work=5000.0
        ),
        _base.Kind.STEP: _curve.Assumption(
            offset_s=0.006, slope_s=0.0001, usual_work=8.0
        ),
        _base.Kind.CALL: _curve.Assumption(
            offset_s=0.0, slope_s=0.1, usual_work=1.0
        ),
    }
)


class ServiceSpeeds:
    """What is typical of the endpoints of a service.

    Its endpoints differ from it by their factors. The mean factor is kept near
    one, so that an endpoint without observations is taken to be typical.
    """

    def __init__(self):
        self._curves = {
            kind: _curve.Curve(assumption=assumption)
            for kind, assumption in _ASSUMPTIONS.items()
        }
        self._levels = dict.fromkeys(_base.Kind, 0.0)
        self._spreads = dict.fromkeys(_base.Kind, 0.0)

    def get_curve(self, kind: _base.Kind) -> _curve.Curve:
        """Returns the durations of a kind of work."""
        return self._curves[kind]

    def estimate_s(self, kind: _base.Kind, work: float) -> float:
        """Returns the expected duration in seconds at a typical endpoint."""
        return self._curves[kind].estimate_s(work)

    def get_spread(self, kind: _base.Kind) -> float:
        """Returns how many times the expected duration is rarely exceeded."""
        return math.exp(self._spreads[kind])

    def add(self, observation: _base.Observation, factor_log: float) -> None:
        """Adds an observation.

        Args:
            observation: The observation.
            factor_log: The logarithm of the endpoint's factor.
        """
        kind = observation.kind
        self._update_spread(observation, factor_log)
        level = self._levels[kind]
        level += _LEVEL_WEIGHT * (factor_log - level)
        self._levels[kind] = level
        typical_s = observation.seconds / math.exp(factor_log - level)
        self._curves[kind].add(observation.work, typical_s)

    def _update_spread(
        self, observation: _base.Observation, factor_log: float
    ) -> None:
        """Moves the spread towards the quantile that it stands for."""
        kind = observation.kind
        expected_s = self.estimate_s(kind, observation.work)
        expected_s *= math.exp(factor_log)
        spread = self._spreads[kind]
        is_exceeded = observation.seconds > expected_s * math.exp(spread)
        step = _SPREAD_STEP * (is_exceeded - _EXCEEDING_SHARE)
        self._spreads[kind] = max(0.0, spread + step)
