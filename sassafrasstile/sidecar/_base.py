"""Effects of the sidecar kernels, and what both kernels share."""

import dataclasses

from sassafrasstile import messages
from sassafrasstile import ownership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message to a gateway.

    Attributes:
        peer: The gateway's name.
        message: The message.
    """

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartPrefill:
    """Start a prefill on the engine.

    Attributes:
        work_id: Names this piece of work towards the engine.
        message: The gateway's message.
    """

    work_id: str
    message: messages.Prefill


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartDecode:
    """Import a KV cache into the engine and start the decode.

    Attributes:
        work_id: Names this piece of work towards the engine.
        message: The gateway's message.
    """

    work_id: str
    message: messages.Decode


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelWork:
    """Cancel work on the engine and free its memory.

    Attributes:
        work_id: The work.
    """

    work_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListWork:
    """Ask the engine what it holds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunCall:
    """Send a call to the service.

    Attributes:
        call_id: Names the call towards the adapter.
        call: The gateway's message.
    """

    call_id: str
    call: messages.Call


@dataclasses.dataclass(frozen=True, kw_only=True)
class Append:
    """Append a record to the service's ownership stream.

    The kernel hears the end of each append by `finish_append` and has one
    in flight at the most.

    Attributes:
        record: The record.
    """

    record: ownership.Record


Effect = (
    Send | StartPrefill | StartDecode | CancelWork | ListWork | RunCall | Append
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptId:
    """Who an attempt belongs to.

    Attributes:
        gateway: The gateway's name.
        incarnation: Its incarnation.
        attempt: The attempt's number.
    """

    gateway: str
    incarnation: str
    attempt: int
