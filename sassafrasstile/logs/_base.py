"""The interface of log clients."""

import abc
import dataclasses

from twisted.internet import defer

from sassafrasstile import ownership


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogPage:
    """The result of one read.

    Attributes:
        first_offset: The offset of the oldest record that the log keeps.
        next_offset: The offset of the next record to be appended.
        entries: The records read, ordered by offset.
    """

    first_offset: int
    next_offset: int
    entries: tuple[ownership.LogEntry, ...]


class LogClient(abc.ABC):
    """Appends records to and reads records from streams of the log."""

    @abc.abstractmethod
    def append(self, stream: str, body: bytes) -> defer.Deferred:
        """Appends a record.

        Returns:
            A Deferred with the record's offset. It fails with
            `errors.LogUnavailableError`, whose `may_have_taken_effect` tells
            whether the record may have been appended.
        """

    @abc.abstractmethod
    def read(self, stream: str, *, start: int, wait_s: float) -> defer.Deferred:
        """Reads records starting at an offset.

        Args:
            stream: The stream.
            start: The first offset to read.
            wait_s: Seconds that the log may wait if there is no record yet.

        Returns:
            A Deferred with a `LogPage`. It fails with
            `errors.LogUnavailableError`.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all connections to the log."""
