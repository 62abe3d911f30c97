"""Where streams began: the software version that each one has to go on at."""

from sassafrasstile.streams._base import (
    ListPosition,
    Lookup,
    Obstacle,
    Source,
    StreamOrigin,
)
from sassafrasstile.streams._directory import OriginDirectory
from sassafrasstile.streams._holders import ZoneOrder, rank_holders
from sassafrasstile.streams._registry import OriginRegistry
from sassafrasstile.streams._versions import VersionHistory

__all__ = [
    "ListPosition",
    "Lookup",
    "Obstacle",
    "OriginDirectory",
    "OriginRegistry",
    "Source",
    "StreamOrigin",
    "VersionHistory",
    "ZoneOrder",
    "rank_holders",
]
