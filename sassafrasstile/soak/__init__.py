"""Long randomised runs of the real kernels under faults.

The world is small: fakes at the interfaces, a virtual clock, one seed.
"""

from sassafrasstile.soak._faults import FAULT_NAMES
from sassafrasstile.soak._report import SoakReport
from sassafrasstile.soak._run import run_shape, run_soak
from sassafrasstile.soak._sites import SITES, SiteShape
from sassafrasstile.soak._world import World

__all__ = [
    "FAULT_NAMES",
    "SITES",
    "SiteShape",
    "SoakReport",
    "World",
    "run_shape",
    "run_soak",
]
