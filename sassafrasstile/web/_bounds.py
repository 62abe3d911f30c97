"""Bounds on the bytes that are read from a server."""

import dataclasses
import enum


class ReadKind(enum.StrEnum):
    """What is read from a server; each kind has a bound of its own.

    Attributes:
        HEAD: The head of an answer with the informational heads before it.
        FRAMING: A chunk's head or the trailers of a chunked body.
        CONTROL: The body of an answer to a health check, a prefill or another
            request of the gateway's own.
        ANSWER: The body of an answer that is meant for a caller.
        EVENT: One event of a stream.
        STORE: The body of an answer of the store.
        TOTAL: What is buffered for all requests together.
    """

    HEAD = "head"
    FRAMING = "framing"
    CONTROL = "control"
    ANSWER = "answer"
    EVENT = "event"
    STORE = "store"
    TOTAL = "total"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBounds:
    """The largest number of bytes of each kind that is read.

    Attributes:
        head_bytes: Of a head with its informational heads, and of the framing
            of a chunked body.
        control_bytes: Of the answer to a request of the gateway's own.
        answer_bytes: Of an answer that is meant for a caller.
        event_bytes: Of one event of a stream.
        store_bytes: Of an answer of the store.

    Raises:
        ValueError: A bound isn't positive.

    >>> ReadBounds(event_bytes=9).get(ReadKind.EVENT)
    9
    """

    head_bytes: int = 65536
    control_bytes: int = 65536
    answer_bytes: int = 4194304
    event_bytes: int = 65536
    store_bytes: int = 4194304

    def __post_init__(self):
        for field in dataclasses.fields(self):
            if getattr(self, field.name) <= 0:
                raise ValueError(f"{field.name} has to be positive")

    def get(self, kind: ReadKind) -> int:
        """Returns the bound of a kind in bytes."""
        match kind:
            case ReadKind.HEAD | ReadKind.FRAMING:
                return self.head_bytes
            case ReadKind.CONTROL:
                return self.control_bytes
            case ReadKind.ANSWER:
                return self.answer_bytes
            case ReadKind.EVENT:
                return self.event_bytes
            case ReadKind.STORE:
                return self.store_bytes
            case ReadKind.TOTAL:
                # Whoever buffers for all requests has its own limit.
                return 0


DEFAULT_BOUNDS = ReadBounds()
