"""Log output and metrics."""

from sassafrasstile.telemetry._logs import configure_logs
from sassafrasstile.telemetry._metrics import GatewayMetrics, SidecarMetrics

__all__ = ["GatewayMetrics", "SidecarMetrics", "configure_logs"]
