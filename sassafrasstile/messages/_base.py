"""The base classes of messages, and the batch that carries them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """The base class of every message between a gateway and a sidecar."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempted(Message):
    """A message about one attempt at one request.

    Attributes:
        request_id: The request's id, unique over all gateways.
        attempt: The attempt's number. A gateway incarnation issues increasing
            numbers across all its requests, so that (gateway incarnation,
            attempt) is unique.
    """

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """The load of an endpoint, on every batch that its sidecar sends.

    Attributes:
        leaving: True once the endpoint accepts no new work.
        slots: Maximum number of concurrent requests at the endpoint.
        free_slots: Slots that no attempt holds.
        waiting: Number of accepted requests that haven't started.
        backlog_s: Estimated seconds until a request that arrives now would
            start.
        loss_offset: At a service, the offset in its ownership stream after
            the last record by which a dead owner was replaced that may have
            run calls without a claim. Zero if none was.
    """

    leaving: bool = False
    slots: int = 0
    free_slots: int = 0
    waiting: int = 0
    backlog_s: float = 0.0
    loss_offset: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """The messages to one process from one iteration of the event loop.

    Attributes:
        sender: The name of the sending process.
        incarnation: The sender's incarnation, new at every start.
        target: The incarnation that the batch is meant for, or an empty string
            when the sender hasn't received one yet.
        sent_at: When it was sent, in seconds of the sender's own clock.
        load: The load of the sender's endpoint, or None from a gateway.
        messages: The messages, in the order in which they were sent.
    """

    sender: str
    incarnation: str
    target: str = ""
    sent_at: float = 0.0
    load: Load | None = None
    messages: tuple[Message, ...] = ()
