"""The records in a service's ownership stream, and their JSON form."""

import dataclasses
import json

_VERSION = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogEntry:
    """A record as stored in the log.

    Attributes:
        offset: Its offset in the stream.
        at: When it was appended, in seconds of the log's clock.
        body: The encoded record.
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
            is unavailable, so that its claims may not cover all calls that
            it has run.
    """

    endpoint: str
    incarnation: str
    vm: str
    runs_unlogged: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """A sidecar has started.

    It takes over the slots of its endpoint's former incarnation, which is
    dead since an endpoint has only one sidecar process at a time. It also
    gets all slots that have no owner.

    Attributes:
        member: The sidecar.
    """

    member: Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """The owner claims keys before it runs their calls.

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
    """The owner transfers slots to a successor.

    Attributes:
        endpoint: The owner's endpoint.
        incarnation: The owner's incarnation.
        successor: The new owner's endpoint.
        slots: The slots.
    """

    endpoint: str
    incarnation: str
    successor: str
    slots: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """A sidecar shuts down gracefully. All calls that it has run are logged.

    Slots that it still owns have no owner until the next join.

    Attributes:
        endpoint: Its endpoint.
        incarnation: Its incarnation.
    """

    endpoint: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evict:
    """A member's VM is gone, as reported by the platform.

    Attributes:
        endpoint: The member's endpoint.
        incarnation: Its incarnation.
        successor: The endpoint that takes over its slots.
    """

    endpoint: str
    incarnation: str
    successor: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Checkpoint:
    """The state at an offset, for readers when older records have expired.

    A reader that has every record from that offset on loads the state and
    applies those records to it, so records appended between the offset and
    the checkpoint aren't missed.

    Attributes:
        based_on: The first offset that the state doesn't include.
        members: The members.
        owners: The owner's endpoint of each slot, or an empty string.
    """

    based_on: int
    members: tuple[Member, ...]
    owners: tuple[str, ...]


Record = Join | Claim | Release | Leave | Evict | Checkpoint
_RECORD_TYPES = {
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
    kind = _RECORD_TYPES.get(values.pop("kind", ""))
    if values.pop("version", 0) != _VERSION or kind is None:
        return None
    fields = {
        name: _decode_field(name, value) for name, value in values.items()
    }
    return kind(**fields)


def _decode_field(name: str, value):
    match name:
        case "member":
            return Member(**value)
        case "members":
            return tuple(Member(**member) for member in value)
        case _:
            return tuple(value) if isinstance(value, list) else value
