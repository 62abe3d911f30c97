"""Logging and metrics."""

from sassafrasstile.telemetry._labels import BoundedLabels
from sassafrasstile.telemetry._logs import (
    BoundedStreamHandler,
    configure_bounded_logs,
    configure_logs,
)
from sassafrasstile.telemetry._metrics import (
    GatewayMetrics,
    RouterMetrics,
    SidecarMetrics,
)
from sassafrasstile.telemetry._percentiles import compute_percentile

__all__ = [
    "BoundedLabels",
    "BoundedStreamHandler",
    "GatewayMetrics",
    "RouterMetrics",
    "SidecarMetrics",
    "configure_bounded_logs",
    "configure_logs",
    "compute_percentile",
]
