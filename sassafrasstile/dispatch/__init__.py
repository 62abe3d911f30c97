"""Load balancing: endpoint health and load, queueing, placement, retries.

This package does no I/O and reads no clock; callers pass the time in.
"""

from sassafrasstile.dispatch._base import (
    DEFAULT_MAX_GAP_S,
    DispatchSettings,
    WorkSize,
)
from sassafrasstile.dispatch._budget import WindowedRetryBudget, divide_slack
from sassafrasstile.dispatch._endpoints import Endpoint, EndpointTable
from sassafrasstile.dispatch._grants import Grant
from sassafrasstile.dispatch._health import Health
from sassafrasstile.dispatch._lengths import OutputLengthEstimator
from sassafrasstile.dispatch._placement import (
    Placement,
    Shortage,
    VersionShortage,
)
from sassafrasstile.dispatch._queue import GenerationQueue, Waiter
from sassafrasstile.dispatch._refusals import RefusalMemory
from sassafrasstile.dispatch._restrictions import (
    MAX_BACKOFF_S,
    EndpointNotice,
    RestrictionChange,
    SendRestrictions,
)
from sassafrasstile.dispatch._speed_sharing import SpeedSharing

__all__ = [
    "DEFAULT_MAX_GAP_S",
    "DispatchSettings",
    "Endpoint",
    "EndpointNotice",
    "EndpointTable",
    "GenerationQueue",
    "Grant",
    "Health",
    "MAX_BACKOFF_S",
    "OutputLengthEstimator",
    "Placement",
    "RefusalMemory",
    "RestrictionChange",
    "SendRestrictions",
    "Shortage",
    "SpeedSharing",
    "VersionShortage",
    "Waiter",
    "WindowedRetryBudget",
    "WorkSize",
    "divide_slack",
]
