"""The interface of store clients."""

import abc
import dataclasses

from twisted.internet import defer

from sassafrasstile import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A record of a keyed topic.

    Attributes:
        key: The key.
        value: The key's new value, or None when the key was removed.
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
        next_offset: Every record before this offset is reflected.
        epoch: The store's epoch, or None when the answer didn't state it.
    """

    entries: tuple[Change, ...]
    next_offset: int
    epoch: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangePage:
    """Consecutive records of a topic.

    Attributes:
        changes: The records in the order of their offsets.
        next_offset: The offset at which the next page starts.
        epoch: The store's epoch, or None when the answer didn't state it.
        end_offset: Where the topic ended when the store answered, or None when
            the answer didn't state it.
    """

    changes: tuple[Change, ...]
    next_offset: int
    epoch: int | None = None
    end_offset: int | None = None

    @property
    def is_last(self) -> bool:
        """True if the topic held no further records at the answer."""
        if self.end_offset is None:
            return not self.changes
        return self.next_offset >= self.end_offset


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendedRecord:
    """The position of a record that was appended.

    Attributes:
        offset: The record's offset.
        epoch: The store's epoch, or None when the answer didn't state it.
    """

    offset: int
    epoch: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TopicEnd:
    """The end of a topic at some time.

    Attributes:
        next_offset: The offset that the next record would have got.
        known_at: The time at which the topic ended there, in seconds.
        epoch: The store's epoch at that time, or None when it isn't known.
            Offsets of different epochs can't be compared.
    """

    next_offset: int
    known_at: float
    epoch: int | None = None


class StoreError(errors.Error):
    """A call to the store failed.

    The store was unreachable, refused the call or no longer has the records.

    Attributes:
        epoch: The store's epoch, or None when there was no answer or it didn't
            state the epoch.
    """

    def __init__(
        self, *, code: errors.Code, detail: str, epoch: int | None = None
    ):
        super().__init__(code=code, detail=detail)
        self.epoch = epoch


class Store(abc.ABC):
    """Reads and writes keyed topics.

    The store may be restored from a copy that lacks the newest records. This
    raises its epoch, and the offsets of lost records are used again.
    """

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
            wait_s: Seconds for which the store may hold the call open until
                there is a record.

        Returns:
            A Deferred with a `ChangePage`. It fails with `StoreError`, with
            the code HISTORY_GONE when the record at the offset is no longer
            kept.
        """

    @abc.abstractmethod
    def put(
        self, topic: str, *, key: str, value: bytes, at: int | None = None
    ) -> defer.Deferred:
        """Appends a record.

        Args:
            topic: The topic.
            key: The key.
            value: The key's new value.
            at: The offset that the record must get, or None for any. The
                call fails with CONFLICT when the topic ends elsewhere.

        Returns:
            A Deferred with an `AppendedRecord`. It fails with `StoreError`;
            the record may have been appended nevertheless.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes every connection."""
