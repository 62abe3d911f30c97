"""The records in a service's ownership stream, and their JSON form."""

import dataclasses
import json

_VERSION = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogEntry:
    """A record as the log keeps it.

    Attributes:
        offset: Its place in the stream.
        at: When it was appended, in the log's time in seconds.
        body: Its content.
    """

    offset: int
    at: float
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A sidecar that may own keys.

    Attributes:
        endpoint: The endpoint's name.
        incarnation: The sidecar's incarnation.
        vm: Its VM.
        runs_unlogged: True when it runs calls without a claim while the log
            is down, so that its claims don't tell all that it has run.
    """

    endpoint: str
    incarnation: str
    vm: str
    runs_unlogged: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """A sidecar has started.

    It owns the slots of its endpoint's former incarnation, which is dead:
    an endpoint's place holds one process. It also gets slots without owner.

    Attributes:
        member: The sidecar.
    """

    member: Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """The owner is about to run calls.

    Attributes:
        endpoint: The owner's endpoint.
        incarnation: The owner's incarnation.
        keys: The idempotency keys.
    """

    endpoint: str
    incarnation: str
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """The owner hands slots over.

    Attributes:
        endpoint: The owner's endpoint.
        incarnation: The owner's incarnation.
        successor: The endpoint that owns them from here on.
        slots: The slots.
    """

    endpoint: str
    incarnation: str
    successor: str
    slots: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """A sidecar stops by plan. What it has run is in the log.

    Slots that it still owns are without owner until the next join.

    Attributes:
        endpoint: Its endpoint.
        incarnation: Its incarnation.
    """

    endpoint: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evict:
    """The platform says that a member's VM is gone.

    Attributes:
        endpoint: The member's endpoint.
        incarnation: Its incarnation.
        successor: The endpoint that owns its slots from here on.
    """

    endpoint: str
    incarnation: str
    successor: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Checkpoint:
    """The state at an offset, for readers whose older records expired.

    A reader that has every record from that offset on loads the state and
    applies those records to it, so a checkpoint can't be out of date.

    Attributes:
        based_on: The first offset that the state doesn't include.
        members: The members.
        owners: The owner's endpoint of each slot, or an empty string.
    """

    based_on: int
    members: tuple[Member, ...]
    owners: tuple[str, ...]


Record = Join | Claim | Release | Leave | Evict | Checkpoint
_KINDS = {
    kind.__name__: kind
    for kind in (Join, Claim, Release, Leave, Evict, Checkpoint)
}


def encode_record(record: Record) -> bytes:
    """Returns the JSON form of a record."""
    body = dataclasses.asdict(record)
    body["kind"] = type(record).__name__
    body["version"] = _VERSION
    return json.dumps(body, sort_keys=True).encode()


def decode_record(body: bytes) -> Record | None:
    """Returns a record, or None for one of a later version.

    >>> record = Leave(endpoint="desk-1", incarnation="a")
    >>> decode_record(encode_record(record)) == record
    True
    """
    values = json.loads(body)
    kind = _KINDS.get(values.pop("kind", ""))
    if values.pop("version", 0) != _VERSION or kind is None:
        return None
    fields = {name: _restore(name, value) for name, value in values.items()}
    return kind(**fields)


def _restore(name: str, value):
    match name:
        case "member":
            return Member(**value)
        case "members":
            return tuple(Member(**item) for item in value)
        case _:
            return tuple(value) if isinstance(value, list) else value
