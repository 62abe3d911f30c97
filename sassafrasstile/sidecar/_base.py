"""Effects of the sidecar kernels, and the identity of an attempt."""

import dataclasses

from sassafrasstile import messages
from sassafrasstile import ownership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Effect: send a message to a gateway.

    Attributes:
        peer: The gateway's name.
        message: The message.
    """

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartPrefill:
    """Effect: start a prefill on the engine.

    Attributes:
        work_id: Identifies this work in calls to the engine.
        message: The gateway's message.
    """

    work_id: str
    message: messages.Prefill


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartDecode:
    """Effect: import a KV cache into the engine and start the decode.

    Attributes:
        work_id: Identifies this work in calls to the engine.
        message: The gateway's message.
    """

    work_id: str
    message: messages.Decode


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelWork:
    """Effect: cancel work on the engine and free its memory.

    Attributes:
        work_id: Identifies the work in calls to the engine.
    """

    work_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListWork:
    """Effect: ask the engine for a list of the work that it holds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunCall:
    """Effect: send a call to the service.

    Attributes:
        call_id: Identifies the call in the adapter's reports.
        call: The gateway's message.
    """

    call_id: str
    call: messages.Call


@dataclasses.dataclass(frozen=True, kw_only=True)
class Append:
    """Effect: append a record to the service's ownership stream.

    `finish_append` reports the end of each append to the kernel, which has
    at most one in flight.

    Attributes:
        record: The record.
    """

    record: ownership.Record


Effect = (
    Send | StartPrefill | StartDecode | CancelWork | ListWork | RunCall | Append
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptId:
    """Identifies an attempt among those of all gateways.

    Attributes:
        gateway: The gateway's name.
        incarnation: The gateway's incarnation, which numbers its attempts.
        attempt: The attempt's number.
    """

    gateway: str
    incarnation: str
    attempt: int
