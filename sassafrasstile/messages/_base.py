"""What all messages share, and the batch that carries them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """Base of every message between a gateway and a sidecar."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempted(Message):
    """A message about one attempt at one request.

    Attributes:
        request_id: The request's id, unique over all gateways.
        attempt: The attempt's number. A gateway incarnation issues numbers
            in rising order over all its requests, so that (gateway
            incarnation, attempt) is unique.
    """

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What a sidecar says of its endpoint on every batch it sends.

    Attributes:
        leaving: True once the endpoint takes no new work.
        slots: Requests that fit into the endpoint at once.
        free_slots: Slots without a hold.
        waiting: Accepted work that hasn't started.
        backlog_s: Estimated seconds until work that arrives now would start.
    """

    leaving: bool = False
    slots: int = 0
    free_slots: int = 0
    waiting: int = 0
    backlog_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """All messages that one process had ready for another in one turn.

    Attributes:
        sender: The name of the sending process.
        incarnation: The sender's incarnation, new at every start.
        target: The incarnation meant to be reached, or an empty string when
            the sender hasn't heard one yet.
        sent_at: The sender's own clock in seconds.
        load: The sender's load, from sidecars only.
        messages: The messages, in the order in which they were sent.
    """

    sender: str
    incarnation: str
    target: str = ""
    sent_at: float = 0.0
    load: Load | None = None
    messages: tuple[Message, ...] = ()
