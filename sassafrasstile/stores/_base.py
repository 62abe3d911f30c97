"""The contract of store clients."""

import abc
import dataclasses

from twisted.internet import defer

from sassafrasstile import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A record of a topic with keys.

    Attributes:
        key: The key.
        value: Its value, or None when the key was removed.
        offset: The record's offset.
    """

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The newest record of each key, as of some offset or later.

    Attributes:
        entries: The records.
        next_offset: Every record before this offset is accounted for.
    """

    entries: tuple[Change, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangePage:
    """Records in their order.

    Attributes:
        changes: The records.
        next_offset: Where to go on.
    """

    changes: tuple[Change, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TopicEnd:
    """Where a topic ended at some time.

    Attributes:
        next_offset: The offset of the record that would come next.
        known_at: When it did, in seconds.
    """

    next_offset: int
    known_at: float


class StoreError(errors.Error):
    """A call to the store failed: unreachable, refused, or history gone."""


class Store(abc.ABC):
    """Reads and writes topics with keys."""

    @abc.abstractmethod
    def load(self, topic: str) -> defer.Deferred:
        """Reads the newest record of each key.

        Returns:
            A Deferred with a `Snapshot`; it fails with `StoreError`.
        """

    @abc.abstractmethod
    def follow(
        self, topic: str, *, offset: int, wait_s: float
    ) -> defer.Deferred:
        """Reads the records from an offset on.

        Args:
            topic: The topic.
            offset: The first offset wanted.
            wait_s: Seconds that the store may wait for a record.

        Returns:
            A Deferred with a `ChangePage`. It fails with `StoreError`, with
            the code HISTORY_GONE when the offset is no longer kept.
        """

    @abc.abstractmethod
    def put(
        self, topic: str, *, key: str, value: bytes, at: int | None = None
    ) -> defer.Deferred:
        """Appends a record.

        Args:
            topic: The topic.
            key: The key.
            value: Its value.
            at: The offset that the record must get, or None for any. The
                call fails with CONFLICT when the topic ends elsewhere.

        Returns:
            A Deferred with its offset. It fails with `StoreError`; the
            record may be there all the same.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Drops every connection."""
