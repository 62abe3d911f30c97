"""Splits a stream of bytes into complete server-sent events."""

import dataclasses

_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A server-sent event.

    Attributes:
        data: Its bytes, including the empty line that ends it.
        event_id: The value of its id field, or None.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    r"""Buffers bytes and returns complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', event_id='1')]
    >>> splitter.feed(b"ta: b\n\n")[0].event_id
    '2'
    >>> splitter.is_empty
    True
    """

    def __init__(self):
        self._buffer = b""

    @property
    def is_empty(self) -> bool:
        """True when no incomplete event is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that are now complete."""
        self._buffer += data
        events = []
        while (end := self._find_end()) > 0:
            block, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(data=block, event_id=_find_id(block)))
        return events

    def _find_end(self) -> int:
        ends = [
            index + len(separator)
            for separator in (b"\n\n", b"\r\n\r\n")
            if (index := self._buffer.find(separator)) >= 0
        ]
        return min(ends, default=-1)


def _find_id(data: bytes) -> str | None:
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def may_follow(event: Event, last_event_id: str | None) -> bool:
    """Returns whether an event may follow the last event of a stream.

    Numeric ids have to increase. This rejects an engine that repeats events,
    or that restarts from the beginning where it should resume the stream.

    Args:
        event: The event.
        last_event_id: The id of the event before it, or None.
    """
    try:
        return int(event.event_id) > int(last_event_id)
    except (TypeError, ValueError):
        return True
