"""Server-sent events, cut whole out of a stream of bytes."""

import dataclasses

_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One event.

    Attributes:
        data: Its bytes, the empty line after it included.
        event_id: Its id, or None.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    r"""Collects bytes and returns whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', event_id='1')]
    >>> splitter.feed(b"ta: b\n\n")[0].event_id
    '2'
    >>> splitter.is_empty
    True
    """

    def __init__(self):
        self._rest = b""

    @property
    def is_empty(self) -> bool:
        """True when no part of an event is left over."""
        return not self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that they complete."""
        self._rest += data
        events = []
        while (end := self._find_end()) > 0:
            whole, self._rest = self._rest[:end], self._rest[end:]
            events.append(Event(data=whole, event_id=_find_id(whole)))
        return events

    def _find_end(self) -> int:
        ends = [
            place + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if (place := self._rest.find(mark)) >= 0
        ]
        return min(ends, default=-1)


def _find_id(data: bytes) -> str | None:
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def may_follow(event: Event, last_event_id: str | None) -> bool:
    """Says whether an event may come after the last one of a stream.

    Ids that are numbers have to increase; an engine that repeats some, or
    that starts anew where a stream should go on, must not be joined to it.

    Args:
        event: The event.
        last_event_id: The id of the event before it, or None.
    """
    try:
        return int(event.event_id) > int(last_event_id)
    except (TypeError, ValueError):
        return True
