"""Simulation of prefill and decode pools in virtual time, to compare policies.

Gateways run the production queue, placement and load reports; engines, callers
and the network are models.

>>> from sassafrasstile import simulation
>>> plan = simulation.Plan(site="fellesvarsel", load=0.5, seconds=5)
>>> simulation.simulate(plan).goodput > 0.9
True
"""

from sassafrasstile.simulation._patterns import (
    Burst,
    UnresponsivePrefills,
    LongPrompts,
    OneZone,
    Pattern,
    ImmediateRetries,
    ShortHandles,
    SlowLinks,
    Steady,
    UrgentBurst,
    PATTERNS,
)
from sassafrasstile.simulation._profiles import (
    EngineProfile,
    RankProfile,
    SITES,
    SiteProfile,
)
from sassafrasstile.simulation._report import Figures, plot_figures
from sassafrasstile.simulation._run import (
    POLICIES,
    Plan,
    Summary,
    simulate,
    simulate_seeds,
)

__all__ = [
    "Burst",
    "EngineProfile",
    "Figures",
    "ImmediateRetries",
    "LongPrompts",
    "OneZone",
    "PATTERNS",
    "POLICIES",
    "Pattern",
    "Plan",
    "RankProfile",
    "SITES",
    "ShortHandles",
    "SiteProfile",
    "SlowLinks",
    "Steady",
    "Summary",
    "UnresponsivePrefills",
    "UrgentBurst",
    "plot_figures",
    "simulate",
    "simulate_seeds",
]
