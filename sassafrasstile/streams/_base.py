"""Data types of stream origins and of the messages about them."""

import dataclasses
import enum

# A caller waits no longer than this for the answers of other gateways.
ANSWER_TIMEOUT_S = 0.15


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
        PROMPT: All gateways together know of one origin for its prompt.
        ONLY_VERSION: No other version can have begun it.
        NONE: It doesn't know the origin.
    """

    OWN = "own"
    PEER = "peer"
    PROMPT = "prompt"
    ONLY_VERSION = "only version"
    NONE = "unknown"


class Obstacle(enum.Enum):
    """Why a prompt doesn't tell the origin of a stream.

    Attributes:
        NO_PROMPT: The caller names no prompt.
        NEVER_SEEN: No gateway remembers a stream of the prompt.
        SEVERAL_ORIGINS: Streams of the prompt began at several versions or
            services.
        GATEWAY_MISSING: A gateway that may know of another origin hasn't
            answered.
        MEMORY_TOO_SHORT: A gateway has started, or had to forget streams, since
            the known one began.
        TOO_MANY_GATEWAYS: There are too many gateways to ask all of them.
    """

    NO_PROMPT = "no prompt"
    NEVER_SEEN = "never seen"
    SEVERAL_ORIGINS = "several origins"
    GATEWAY_MISSING = "gateway missing"
    MEMORY_TOO_SHORT = "memory too short"
    TOO_MANY_GATEWAYS = "too many gateways"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lookup:
    """The result of looking for a stream's origin.

    Attributes:
        source: How the origin is known.
        origin: The origin, or None if it isn't known.
        obstacle: Why its prompt doesn't tell it, or None if it does or wasn't
            looked for.
    """

    source: Source
    origin: StreamOrigin | None = None
    obstacle: Obstacle | None = None


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptView:
    """What one gateway knows about the streams of a prompt.

    Attributes:
        origins: The distinct origins of those that it began, two at most.
        age_s: Seconds since the first of them began.
        memory_s: Seconds for which it remembers every stream that it began.
        gateway_count: The number of gateways that it knows, with itself and
            with those that have fallen silent.
    """

    origins: tuple[StreamOrigin, ...]
    age_s: float
    memory_s: float
    gateway_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptQuery:
    """Asks another gateway where the streams of a prompt began.

    Attributes:
        key: The prompt's key.
        number: Tells the asker's questions apart. The answer to an earlier one
            may be older than the stream.
    """

    key: str
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptAnswer:
    """Answers a query about a prompt.

    Attributes:
        key: The prompt's key.
        number: The question's number.
        view: What the gateway knows.
    """

    key: str
    number: int
    view: PromptView


@dataclasses.dataclass(frozen=True, kw_only=True)
class OriginTransfer:
    """Passes on origins of streams that began earlier.

    Attributes:
        number: Tells the sender's transfers apart.
        announcements: The origins.
    """

    number: int
    announcements: tuple[OriginAnnouncement, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferReceipt:
    """Confirms a transfer.

    Attributes:
        number: The transfer's number.
    """

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListPosition:
    """How far a gateway has read the list of endpoints.

    Attributes:
        epoch: The store's epoch, or None when it isn't known.
        offset: The offset of the next record.
    """

    epoch: int | None
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionSighting:
    """A version that endpoints of a service have had.

    Attributes:
        origin: The service and version.
        age_s: Seconds since the last of these endpoints left; zero while there
            is one.
    """

    origin: StreamOrigin
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionMemory:
    """The versions that a gateway remembers.

    Attributes:
        memory_s: Seconds for which it has read the list without a gap.
        sightings: All versions that were in it.
    """

    memory_s: float
    sightings: tuple[VersionSighting, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionQuery:
    """Asks another gateway which versions it remembers.

    Attributes:
        number: Tells the asker's questions apart.
        position: The answer has to reach up to this position at least, from
            which on the asker knows the list itself.
    """

    number: int
    position: ListPosition


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionAnswer:
    """Answers a query about versions.

    Attributes:
        number: The question's number.
        memory: What the gateway remembers.
    """

    number: int
    memory: VersionMemory


Message = (
    OriginAnnouncement
    | Query
    | Answer
    | PromptQuery
    | PromptAnswer
    | OriginTransfer
    | TransferReceipt
    | VersionQuery
    | VersionAnswer
)
