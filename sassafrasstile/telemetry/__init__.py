"""Log output and metrics."""

from sassafrasstile.telemetry._logs import configure_logs
from sassafrasstile.telemetry._metrics import GatewayMetrics, SidecarMetrics
from sassafrasstile.telemetry._percentiles import take_percentile

__all__ = [
    "GatewayMetrics",
    "SidecarMetrics",
    "configure_logs",
    "take_percentile",
]
