"""What callers, endpoints and the operator have seen of planned stops."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Life:
    """One process of a gateway, from its start to its end.

    Attributes:
        gateway: The gateway's name.
        started_at: When the process was started, in seconds.
        stopped_at: When it got its first SIGTERM, or None.
        ended_at: When it was found to have ended, or None.
        exit_code: Its exit code.
        reloaded_at: When it got a SIGHUP.
    """

    gateway: str
    started_at: float
    stopped_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    reloaded_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True)
class Execution:
    """A request at one endpoint.

    Attributes:
        endpoint: The endpoint's name.
        stage: `prefill`, `decode`, or `plain`.
        arrived_at: When the whole request had arrived.
        ran_at: When it began to run, which is the first token of a stream.
        ended_at: When the endpoint's work on it ended.
        ended_by: `answer` for the endpoint's whole answer, `refusal`,
            `gateway` for a closed connection, or `deadline`.
    """

    endpoint: str
    stage: str
    arrived_at: float
    ran_at: float | None = None
    ended_at: float | None = None
    ended_by: str = ""

    def is_at_work(self, since: float, until: float) -> bool:
        """Returns whether it ran at some time between two times."""
        return (
            self.ran_at is not None
            and self.ran_at <= until
            and (self.ended_at is None or self.ended_at >= since)
        )

    def describe(self, zero: float) -> str:
        """Returns a text with its times after a time."""
        return (
            f"{self.endpoint} at {show(self.arrived_at, zero)} "
            f"ran {show(self.ran_at, zero)} end {show(self.ended_at, zero)} "
            f"{self.ended_by}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        name: The first part of its path.
        is_stream: True if its answer is a stream of events.
        may_repeat: True if it may run more than once.
        limit_s: The shorter of its deadline and its route's timeout.
    """

    name: str
    is_stream: bool
    may_repeat: bool
    limit_s: float


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """A request as its caller saw it.

    Attributes:
        request_id: Its id.
        kind: Its kind.
        size: The events or the bytes of its whole answer.
        life: The process that the connection leads to.
        is_kept: True if the connection was used before.
        sent_from: When its first byte was sent.
        sent_at: When its last byte was sent, or None before that.
        status: The status of its answer, or zero.
        received: The events or the bytes received.
        is_whole: True once the whole answer has been received.
        ended_at: When its answer or its connection ended.
        ended_by: `answer`, `close`, `reset`, or `caller`.
        error: What was wrong with its answer.
    """

    request_id: str
    kind: Kind
    size: int
    life: Life
    is_kept: bool = False
    sent_from: float = 0.0
    sent_at: float | None = None
    status: int = 0
    received: int = 0
    is_whole: bool = False
    ended_at: float | None = None
    ended_by: str = ""
    error: str = ""


def show(at: float | None, zero: float) -> str:
    """Returns the seconds from one time to another as text."""
    return "-" if at is None else f"{at - zero:+.2f}"


def name_phase(attempt: Attempt, executions: list[Execution]) -> str:
    """Returns how far a request had come when it ended."""
    last = executions[-1] if executions else None
    unit = "events" if attempt.kind.is_stream else "bytes"
    progress = f"{attempt.received} of {attempt.size} {unit}"
    match last:
        case None:
            return "queued"
        case Execution(ended_by="refusal"):
            return "queued again"
        case Execution(ended_by="answer", stage="prefill"):
            return "prefilled"
        case Execution(ended_by="answer"):
            return f"answer unread, {progress}"
        case Execution(stage="prefill"):
            return "prefilling"
        case Execution(ran_at=None):
            return f"waiting at the endpoint, {progress}"
    return progress
