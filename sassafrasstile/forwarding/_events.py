"""Splits a stream of bytes into complete server-sent events."""

import dataclasses

_ID_FIELD = b"id:"
_COMMENT_START = b":"
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A server-sent event.

    Attributes:
        data: Its bytes, including the empty line that ends it.
        event_id: The value of its id field, or None.
    """

    data: bytes
    event_id: str | None

    @property
    def is_comment(self) -> bool:
        """True if it has no field, so that it may stand anywhere."""
        return all(
            line.startswith(_COMMENT_START)
            for line in self.data.splitlines()
            if line
        )


class EventSplitter:
    r"""Buffers bytes and returns complete events.

    Args:
        max_event_bytes: The largest event that is returned.

    Attributes:
        is_exceeded: True once an event has become too large. That event isn't
            returned, and neither is anything after it.

    >>> splitter = EventSplitter(max_event_bytes=100)
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', event_id='1')]
    >>> splitter.feed(b"ta: b\n\n")[0].event_id
    '2'
    >>> splitter.is_empty
    True
    """

    def __init__(self, *, max_event_bytes: int):
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        # The buffer is searched for line ends from here on.
        self._position = 0
        self.is_exceeded = False

    @property
    def is_empty(self) -> bool:
        """True when no incomplete event is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that are now complete."""
        if self.is_exceeded:
            return []
        self._buffer += data
        events = []
        begin = 0
        while (end := self._find_end(begin)) > 0:
            if end - begin > self._max_event_bytes:
                break
            block = bytes(self._buffer[begin:end])
            events.append(Event(data=block, event_id=_find_id(block)))
            begin = end
        del self._buffer[:begin]
        self._position -= begin
        self.is_exceeded = len(self._buffer) > self._max_event_bytes
        if self.is_exceeded:
            self._buffer.clear()
        return events

    def _find_end(self, begin: int) -> int:
        """Returns where the event that begins there ends, or -1."""
        while True:
            line_end = _find_line_end(self._buffer, self._position)
            if line_end < 0:
                self._position = len(self._buffer)
                return -1
            self._position = line_end
            if self._buffer.endswith(_EVENT_ENDS, begin, line_end):
                return line_end


def _find_line_end(data: bytearray, begin: int) -> int:
    """Returns the position after the next line, or -1 if it is incomplete."""
    return data.find(b"\n", begin) + 1 or -1


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


def goes_on(event: Event, last_event_id: str) -> bool:
    """Returns whether an event shows that its run goes on with a stream.

    An event without an id, or with one that can't be compared, shows nothing.

    Args:
        event: The first event of the run.
        last_event_id: The id of the last event before the run.

    >>> goes_on(Event(data=b"", event_id="4"), "3")
    True
    >>> goes_on(Event(data=b"", event_id=None), "3")
    False
    """
    if event.event_id is None or event.event_id == last_event_id:
        return False
    is_number = last_event_id.isdecimal()
    if is_number != event.event_id.isdecimal():
        return False
    return may_follow(event, last_event_id)
