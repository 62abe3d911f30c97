"""Durations at a typical endpoint of one service."""

import math
import types

from sassafrasstile.speeds import _base
from sassafrasstile.speeds import _curve

# Weight of the newest observation in the mean factor of the endpoints.
_LEVEL_WEIGHT = 0.05
# This much of an endpoint's factor is left out of its observations. The rest
# averages out over the endpoints, unless they differ by the amount of work.
_FACTOR_SHARE = 0.5
# After this many observations, what differs much from the expected says
# nothing about the other endpoints.
_KNOWN_COUNT = 10
# Endpoints are uneven if the logarithms of their factors differ by this much
# from their mean, on average.
_UNEVEN_SPREAD = 0.2
_MIN_SPREAD_COUNT = 20
_MAX_SURPRISE = math.log(2.0)

# Assumed until something is observed.
_ASSUMPTIONS = types.MappingProxyType(
    {
        _base.Kind.PREFILL: _curve.Assumption(
            offset_s=0.0, slope_s=1 / 50_000, usual_work=5000.0
        ),
        _base.Kind.ADMISSION: _curve.Assumption(
            offset_s=0.15, slope_s=1 / 50_000, usual_work=5000.0
        ),
        _base.Kind.LOCAL_PREFILL: _curve.Assumption(
            offset_s=0.04, slope_s=1 / 25_000, usual_work=5000.0
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
        self._counts = dict.fromkeys(_base.Kind, 0)

    @property
    def is_uneven(self) -> bool:
        """True once its engines are seen to differ much in speed."""
        return any(
            self._counts[kind] >= _MIN_SPREAD_COUNT
            and self._spreads[kind] > _UNEVEN_SPREAD
            for kind in (_base.Kind.PREFILL, _base.Kind.STEP)
        )

    def get_curve(self, kind: _base.Kind) -> _curve.Curve:
        """Returns the durations of a kind of work."""
        return self._curves[kind]

    def estimate_s(self, kind: _base.Kind, work: float) -> float:
        """Returns the expected duration in seconds at a typical endpoint."""
        return self._curves[kind].estimate_s(work)

    def add(self, observation: _base.Observation, factor_log: float) -> None:
        """Adds an observation.

        Args:
            observation: The observation.
            factor_log: The logarithm of the endpoint's factor.
        """
        kind = observation.kind
        curve = self._curves[kind]
        self._counts[kind] += 1
        expected_s = curve.estimate_s(observation.work) * math.exp(factor_log)
        is_known = self._counts[kind] > _KNOWN_COUNT
        surprise = abs(math.log(max(1e-9, observation.seconds / expected_s)))
        if is_known and surprise > _MAX_SURPRISE:
            return
        level = self._levels[kind]
        level += _LEVEL_WEIGHT * (factor_log - level)
        self._levels[kind] = level
        spread = self._spreads[kind]
        spread += _LEVEL_WEIGHT * (abs(factor_log - level) - spread)
        self._spreads[kind] = spread
        slowness = math.exp(_FACTOR_SHARE * (factor_log - level))
        curve.add(observation.work, observation.seconds / slowness)
