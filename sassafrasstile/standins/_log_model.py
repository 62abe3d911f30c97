"""Models the platform's append-only log without I/O."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLimits:
    """The limits of a log.

    Attributes:
        appends_per_s: The maximum number of appends per second.
        retention_s: Seconds until a record is deleted.
    """

    appends_per_s: float = 400.0
    retention_s: float = 3600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogRecord:
    """A record in the log.

    Attributes:
        offset: The position in the stream, increasing by one per record.
        at: When the record was appended, by the log's clock in seconds.
        body: The content.
    """

    offset: int
    at: float
    body: bytes


class LogDownError(Exception):
    """The log is unavailable; the failed call had no effect."""


class LogModel:
    """Streams of records with offsets, a limited rate and retention.

    Args:
        limits: The log's limits.
    """

    def __init__(self, *, limits: LogLimits | None = None):
        self.limits = limits or LogLimits()
        self.is_down = False
        self.append_count = 0
        self._streams: dict[str, list[LogRecord]] = {}
        self._next_offsets: dict[str, int] = {}
        self._append_tokens = self.limits.appends_per_s
        self._refilled_at = 0.0

    def append(self, stream: str, body: bytes, *, now: float) -> int:
        """Appends a record.

        Returns:
            The record's offset.

        Raises:
            LogDownError: During an outage, or above the append rate.
        """
        if self.is_down:
            raise LogDownError("outage")
        rate = self.limits.appends_per_s
        elapsed_s = now - self._refilled_at
        self._append_tokens = min(rate, self._append_tokens + rate * elapsed_s)
        self._refilled_at = now
        if self._append_tokens < 1:
            raise LogDownError("over the rate")
        self._append_tokens -= 1
        offset = self._next_offsets.get(stream, 0)
        self._next_offsets[stream] = offset + 1
        self._streams.setdefault(stream, []).append(
            LogRecord(offset=offset, at=now, body=body)
        )
        self.append_count += 1
        return offset

    def read(
        self, stream: str, *, start: int, limit: int, now: float
    ) -> tuple[int, int, list[LogRecord]]:
        """Reads records.

        Args:
            stream: The stream.
            start: The first offset to read.
            limit: The maximum number of records.
            now: The current time by the log's clock.

        Returns:
            The oldest retained offset, the offset of the next append, and the
            retained records from `start` on.

        Raises:
            LogDownError: During an outage.
        """
        if self.is_down:
            raise LogDownError("outage")
        kept = [
            record
            for record in self._streams.get(stream, [])
            if record.at > now - self.limits.retention_s
        ]
        self._streams[stream] = kept
        next_offset = self._next_offsets.get(stream, 0)
        first_offset = kept[0].offset if kept else next_offset
        begin_index = max(0, start - first_offset)
        return (
            first_offset,
            next_offset,
            kept[begin_index : begin_index + limit],
        )
