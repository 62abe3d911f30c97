"""The platform's append-only log without I/O."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSpeed:
    """The limits of a log.

    Attributes:
        appends_per_s: Appends that it takes a second.
        retention_s: Seconds that it keeps a record.
    """

    appends_per_s: float = 400.0
    retention_s: float = 3600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogRecord:
    """A record in the log.

    Attributes:
        offset: Its place, rising by one in each stream.
        at: When it was appended, in the log's time in seconds.
        body: Its content.
    """

    offset: int
    at: float
    body: bytes


class LogDownError(Exception):
    """The log takes nothing now; this append had no effect."""


class LogModel:
    """Streams of records with offsets, a limited rate and retention.

    Args:
        speed: The log's limits.
    """

    def __init__(self, *, speed: LogSpeed | None = None):
        self.speed = speed or LogSpeed()
        self.is_down = False
        self.appends = 0
        self._streams: dict[str, list[LogRecord]] = {}
        self._next: dict[str, int] = {}
        self._tokens = self.speed.appends_per_s
        self._refilled_at = 0.0

    def append(self, stream: str, body: bytes, *, now: float) -> int:
        """Appends a record.

        Returns:
            Its offset.

        Raises:
            LogDownError: During an outage, and above the rate.
        """
        if self.is_down:
            raise LogDownError("outage")
        rate = self.speed.appends_per_s
        passed_s = now - self._refilled_at
        self._tokens = min(rate, self._tokens + rate * passed_s)
        self._refilled_at = now
        if self._tokens < 1:
            raise LogDownError("over the rate")
        self._tokens -= 1
        offset = self._next.get(stream, 0)
        self._next[stream] = offset + 1
        self._streams.setdefault(stream, []).append(
            LogRecord(offset=offset, at=now, body=body)
        )
        self.appends += 1
        return offset

    def read(
        self, stream: str, *, start: int, limit: int, now: float
    ) -> tuple[int, int, list[LogRecord]]:
        """Reads records.

        Args:
            stream: The stream.
            start: The first offset wanted.
            limit: Records at the most.
            now: The log's time.

        Returns:
            The oldest offset kept, the next offset to be given, and the
            records from `start` on that are kept.

        Raises:
            LogDownError: During an outage.
        """
        if self.is_down:
            raise LogDownError("outage")
        kept = [
            record
            for record in self._streams.get(stream, [])
            if record.at > now - self.speed.retention_s
        ]
        self._streams[stream] = kept
        after = self._next.get(stream, 0)
        first = kept[0].offset if kept else after
        begin = max(0, start - first)
        return first, after, kept[begin : begin + limit]
