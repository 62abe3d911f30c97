"""The configuration of a gateway: routes, services and limits."""

from sassafrasstile.routes._base import (
    CallerLimits,
    Configuration,
    EngineProfile,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from sassafrasstile.routes._active import ActiveConfiguration
from sassafrasstile.routes._table import RouteTable

__all__ = [
    "CallerLimits",
    "Configuration",
    "ActiveConfiguration",
    "EngineProfile",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "WeightedService",
]
