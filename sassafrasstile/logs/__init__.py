"""Clients of the platform's append-only log."""

from sassafrasstile.logs._base import LogClient, LogPage
from sassafrasstile.logs._follower import LogFollower
from sassafrasstile.logs._http import HttpLog

__all__ = ["HttpLog", "LogClient", "LogFollower", "LogPage"]
