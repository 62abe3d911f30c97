"""Interface of the platform's store, and a follower of its topics."""

from sassafrasstile.stores._base import (
    AppendedRecord,
    Change,
    ChangePage,
    Snapshot,
    Store,
    StoreError,
    TopicEnd,
)
from sassafrasstile.stores._epochs import (
    EpochCheckedStore,
    EpochMonitor,
    may_be_restored,
)
from sassafrasstile.stores._follower import Follower
from sassafrasstile.stores._view import KeyedView

__all__ = [
    "AppendedRecord",
    "Change",
    "ChangePage",
    "EpochCheckedStore",
    "EpochMonitor",
    "Follower",
    "KeyedView",
    "Snapshot",
    "Store",
    "StoreError",
    "TopicEnd",
    "may_be_restored",
]
