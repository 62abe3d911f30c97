"""The gateway process that calls endpoints directly, without sidecars."""

from sassafrasstile.router._daemon import RouterDaemon
from sassafrasstile.router._process import run_router
from sassafrasstile.router._record_decoder import RecordDecoder
from sassafrasstile.router._settings import RouterSettings, SettingsSource

__all__ = [
    "RecordDecoder",
    "RouterDaemon",
    "RouterSettings",
    "SettingsSource",
    "run_router",
]
