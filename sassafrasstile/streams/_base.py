"""Data types of stream origins and of the messages about them."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """What a stream has to go on at: what its first event came from.

    Attributes:
        service: The service.
        software_version: The software version of the service's engine.
    """

    service: str
    software_version: str


class Source(enum.Enum):
    """How a gateway knows the origin of a stream.

    Attributes:
        OWN: It began the stream, or was told of it when it began.
        PEER: Another gateway has answered.
        ONLY_VERSION: No other version can have begun it.
        NONE: It doesn't know the origin.
    """

    OWN = "own"
    PEER = "peer"
    ONLY_VERSION = "only version"
    NONE = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lookup:
    """The result of looking for a stream's origin.

    Attributes:
        source: How the origin is known.
        origin: The origin, or None if it isn't known.
    """

    source: Source
    origin: StreamOrigin | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class OriginAnnouncement:
    """Tells another gateway the origin of a stream that begins.

    Attributes:
        key: The stream's key.
        origin: Its origin.
        lifetime_s: Seconds for which a caller may take the stream up again.
    """

    key: str
    origin: StreamOrigin
    lifetime_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """Asks another gateway for the origin of a stream.

    Attributes:
        key: The stream's key.
    """

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answers a query.

    Attributes:
        key: The stream's key.
        origin: Its origin, or None if the gateway doesn't know it.
    """

    key: str
    origin: StreamOrigin | None


Message = OriginAnnouncement | Query | Answer
