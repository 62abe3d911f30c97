"""Long randomised runs of the production kernels under injected faults.

Engines, services, the log and the network are fakes on a virtual clock. The
seed decides everything, so that a run can be repeated exactly.
"""

from sassafrasstile.soak._faults import DIRECTED_FAULT_NAMES, FAULT_NAMES
from sassafrasstile.soak._report import SoakReport
from sassafrasstile.soak._run import run_shape, run_soak
from sassafrasstile.soak._sites import SITES, SiteShape
from sassafrasstile.soak._world import World

__all__ = [
    "DIRECTED_FAULT_NAMES",
    "FAULT_NAMES",
    "SITES",
    "SiteShape",
    "SoakReport",
    "World",
    "run_shape",
    "run_soak",
]
