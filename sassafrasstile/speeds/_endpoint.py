"""The learned speeds of one incarnation of an endpoint."""

import math

from sassafrasstile.speeds import _base
from sassafrasstile.speeds import _factor
from sassafrasstile.speeds import _service

# Until an engine was seen at a kind of work, it is taken to be as fast as at
# the other: both run on the same hardware.
_RELATIVES = {
    _base.Kind.PREFILL: _base.Kind.STEP,
    _base.Kind.STEP: _base.Kind.PREFILL,
    _base.Kind.LOCAL_PREFILL: _base.Kind.STEP,
}
# A belief that has changed by more than this factor is worth a log line.
_NOTABLE_LOG = math.log(1.4)


class EndpointSpeeds:
    """How long one incarnation of an endpoint takes.

    Args:
        service: What is typical of its service.

    >>> speeds = EndpointSpeeds()
    >>> speeds.estimate_s(_base.Kind.PREFILL, 5000.0, 0.0)
    0.1
    >>> for second in range(20):
    ...     _ = speeds.add(_base.Observation(
    ...         kind=_base.Kind.PREFILL, work=5000.0, seconds=0.2),
    ...         float(second))
    >>> round(speeds.estimate_s(_base.Kind.PREFILL, 5000.0, 20.0), 1)
    0.2
    """

    def __init__(self, *, service: _service.ServiceSpeeds | None = None):
        self._service = service or _service.ServiceSpeeds()
        self._factors: dict[_base.Kind, _factor.Factor] = {}
        self._noted: dict[_base.Kind, float] = {}

    @property
    def is_uneven(self) -> bool:
        """True once the engines of its service are seen to differ much."""
        return self._service.is_uneven

    def estimate_s(self, kind: _base.Kind, work: float, now: float) -> float:
        """Returns the expected duration of work in seconds.

        Args:
            kind: The kind of work.
            work: The amount of work, in the unit of its kind.
            now: The time in seconds.
        """
        typical_s = self._service.estimate_s(kind, work)
        return typical_s * self.estimate_factor(kind, now)

    def estimate_wait_s(
        self, kind: _base.Kind, work: float, now: float
    ) -> float:
        """Returns the expected seconds until queued work is done."""
        slope_s = self._service.get_curve(kind).slope_s
        return work * slope_s * self.estimate_factor(kind, now)

    def estimate_factor(self, kind: _base.Kind, now: float) -> float:
        """Returns how much slower than a typical endpoint it is now."""
        prior_log = self._estimate_prior_log(kind, now)
        factor = self._factors.get(kind)
        if factor is None:
            return math.exp(prior_log)
        return factor.estimate(now, prior_log=prior_log)

    def has_seen(self, kind: _base.Kind) -> bool:
        """Returns whether it was observed at a kind of work."""
        return kind in self._factors

    def add(self, observation: _base.Observation, now: float) -> float | None:
        """Adds an observation.

        Args:
            observation: The observation.
            now: The time in seconds.

        Returns:
            The factor, if what is believed has changed much since the last
            time; otherwise None.
        """
        kind = observation.kind
        values = (observation.seconds, observation.work)
        if not all(map(math.isfinite, values)) or min(values) < 0:
            return None
        typical_s = self._service.estimate_s(kind, observation.work)
        factor = self._factors.setdefault(kind, _factor.Factor())
        factor.add(observation.seconds / typical_s, now)
        prior_log = self._estimate_prior_log(kind, now)
        factor_log = factor.estimate_log(now, prior_log=prior_log)
        self._service.add(observation, factor_log)
        change = factor_log - self._noted.get(kind, 0.0)
        if abs(change) < _NOTABLE_LOG:
            return None
        self._noted[kind] = factor_log
        return math.exp(factor_log)

    def _estimate_prior_log(self, kind: _base.Kind, now: float) -> float:
        relative = self._factors.get(_RELATIVES.get(kind, kind))
        if relative is None or relative is self._factors.get(kind):
            return 0.0
        return relative.estimate_log(now)
