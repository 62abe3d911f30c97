"""Sources of the states of VMs: live, leaving or gone."""

from sassafrasstile.liveness._base import LivenessSource, VmStates
from sassafrasstile.liveness._http import HttpLiveness
from sassafrasstile.liveness._none import NoLiveness

__all__ = ["HttpLiveness", "LivenessSource", "NoLiveness", "VmStates"]
