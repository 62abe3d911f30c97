"""The contract of log clients."""

import abc
import dataclasses

from twisted.internet import defer

from sassafrasstile import ownership


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogPage:
    """What one read returned.

    Attributes:
        first_offset: The oldest offset that the log keeps.
        next_offset: The offset that the next record will get.
        entries: The records read, in order.
    """

    first_offset: int
    next_offset: int
    entries: tuple[ownership.LogEntry, ...]


class LogClient(abc.ABC):
    """Appends to and reads from streams of the log."""

    @abc.abstractmethod
    def append(self, stream: str, body: bytes) -> defer.Deferred:
        """Appends a record.

        Returns:
            A Deferred with its offset. It fails with
            `errors.LogUnavailableError`, which says whether the append may
            have taken effect.
        """

    @abc.abstractmethod
    def read(self, stream: str, *, start: int, wait_s: float) -> defer.Deferred:
        """Reads records from an offset on.

        Args:
            stream: The stream.
            start: The first offset wanted.
            wait_s: Seconds that the log may wait for a record.

        Returns:
            A Deferred with a `LogPage`. It fails with
            `errors.LogUnavailableError`.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Drops every connection."""
