"""What gateways tell each other about the speeds of endpoints."""

import collections
from collections.abc import Iterable
import dataclasses
import logging

from sassafrasstile import limits
from sassafrasstile import peers
from sassafrasstile import speeds
from sassafrasstile.dispatch import _endpoints

_LOG = logging.getLogger("sassafrasstile.dispatch")
# This many observations are kept for the next reports; older ones are dropped.
_MAX_KEPT = 16
# A report has at most this many of them.
_MAX_REPORTED = 8
# Older ones say little about what an endpoint has now.
_MAX_AGE_S = 5.0
_MAX_LOG_LINES_PER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Kept:
    number: int
    endpoint: _endpoints.Endpoint
    observation: speeds.Observation
    observed_at: float


class SpeedSharing:
    """Learns from this gateway's observations and those of others.

    Only a gateway's own observations are passed on, once to each group of
    gateways, so that none counts twice. Lost ones aren't sent again: others
    follow, and a gateway that lacks them places work as it would without.

    Args:
        endpoints: The endpoints.
    """

    def __init__(self, *, endpoints: _endpoints.EndpointTable):
        self._endpoints = endpoints
        self._kept: collections.deque[_Kept] = collections.deque(
            maxlen=_MAX_KEPT
        )
        self._number = 0
        self._log_lines = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)

    def record(
        self,
        endpoint: _endpoints.Endpoint,
        observation: speeds.Observation,
        now: float,
    ) -> None:
        """Records an observation of this gateway.

        Args:
            endpoint: The endpoint that did the work.
            observation: How long it took.
            now: The time in seconds.
        """
        self._number += 1
        self._kept.append(
            _Kept(
                number=self._number,
                endpoint=endpoint,
                observation=observation,
                observed_at=now,
            )
        )
        self._add(endpoint, observation, now, age_s=0.0, source="own")

    def list_newer(
        self, number: int, now: float
    ) -> tuple[int, tuple[peers.SpeedReport, ...]]:
        """Returns the observations after one, and the number of the last.

        Args:
            number: The number of the last one that was reported before.
            now: The time in seconds.
        """
        newer = [
            item
            for item in self._kept
            if item.number > number and now - item.observed_at <= _MAX_AGE_S
        ]
        reports = tuple(
            peers.SpeedReport(
                endpoint_id=item.endpoint.name,
                started_ms=item.endpoint.record.started_ms,
                kind=item.observation.kind.value,
                work=item.observation.work,
                seconds=item.observation.seconds,
                age_s=max(0.0, now - item.observed_at),
            )
            for item in newer[-_MAX_REPORTED:]
        )
        return self._number, reports

    def apply(self, reports: Iterable[peers.SpeedReport], now: float) -> None:
        """Learns from the observations of another gateway.

        Those of former incarnations and of unknown kinds are ignored.

        Args:
            reports: The observations.
            now: The time in seconds.
        """
        for report in list(reports)[:_MAX_REPORTED]:
            endpoint = self._endpoints.find(report.endpoint_id)
            if (
                endpoint is None
                or endpoint.record.started_ms != report.started_ms
                or not 0 <= report.age_s <= _MAX_AGE_S
            ):
                continue
            try:
                kind = speeds.Kind(report.kind)
            except ValueError:
                continue
            observation = speeds.Observation(
                kind=kind, work=report.work, seconds=report.seconds
            )
            self._add(
                endpoint, observation, now, age_s=report.age_s, source="peer"
            )

    def _add(
        self,
        endpoint: _endpoints.Endpoint,
        observation: speeds.Observation,
        now: float,
        *,
        age_s: float,
        source: str,
    ) -> None:
        factor = endpoint.speeds.add(observation, now - age_s)
        if factor is None or not self._log_lines.take(1, now):
            return
        _LOG.info(
            "speeds: endpoint %s takes %.2f times the usual for %s.",
            endpoint.name,
            factor,
            observation.kind.value,
            extra={
                "endpoint": endpoint.name,
                "kind": observation.kind.value,
                "factor": round(factor, 2),
                "work": round(observation.work, 1),
                "taken_ms": round(observation.seconds * 1000, 2),
                "age_ms": round(age_s * 1000),
                "in_flight": endpoint.total_in_flight,
                "source": source,
            },
        )
