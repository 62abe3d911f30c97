"""The daemons of gateway and sidecar, which do the I/O of the kernels."""

from sassafrasstile.daemons._gateway import GatewayDaemon
from sassafrasstile.daemons._reactor import (
    catch_stop,
    install_reactor,
    run_until_done,
)
from sassafrasstile.daemons._sidecar import SidecarDaemon

__all__ = [
    "GatewayDaemon",
    "SidecarDaemon",
    "catch_stop",
    "install_reactor",
    "run_until_done",
]
