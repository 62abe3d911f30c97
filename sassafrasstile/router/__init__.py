"""The gateway process that speaks to endpoints itself."""

from sassafrasstile.router._daemon import RouterDaemon
from sassafrasstile.router._process import run_router
from sassafrasstile.router._settings import RouterSettings, SettingsSource
from sassafrasstile.router._sources import Sources

__all__ = [
    "RouterDaemon",
    "RouterSettings",
    "SettingsSource",
    "Sources",
    "run_router",
]
