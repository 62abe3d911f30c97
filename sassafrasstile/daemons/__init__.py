"""The processes: thin drivers round the kernels."""

from sassafrasstile.daemons._gateway import GatewayDaemon
from sassafrasstile.daemons._sidecar import SidecarDaemon

__all__ = ["GatewayDaemon", "SidecarDaemon"]
