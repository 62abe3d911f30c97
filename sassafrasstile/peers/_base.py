"""Data types of the reports that gateways exchange."""

from collections.abc import Mapping
import dataclasses

# A report tells of at most this many ranks.
MAX_REPORTED_RANKS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """The address at which a gateway receives reports.

    Attributes:
        name: The gateway's name.
        host: Its IP address.
        port: Its UDP port.
        zone: Its availability zone, or an empty string if it isn't known.
    """

    name: str
    host: str
    port: int
    zone: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointLoad:
    """What one gateway has in flight at one endpoint.

    Attributes:
        in_flight: The number of requests in flight.
        reserved_tokens: The KV cache that these requests will occupy when
            they finish, in tokens.
        prefill_tokens: Prompt tokens being prefilled.
        is_changing: True while the endpoint's role is being changed. Only
            the gateway that ordered the change reports this.
        is_unreachable: True when the gateway couldn't reach the endpoint.
    """

    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    is_changing: bool = False
    is_unreachable: bool = False

    @property
    def is_empty(self) -> bool:
        """True when there is nothing to report."""
        return self == _NO_LOAD


_NO_LOAD = EndpointLoad()


@dataclasses.dataclass(frozen=True, kw_only=True)
class TopicEndReport:
    """The end of a topic as a gateway saw it some time ago.

    Attributes:
        next_offset: The offset that the next record would have got.
        age_s: Seconds since the gateway saw the topic end there.
        epoch: The store's epoch at that time, or None when it isn't known.
    """

    next_offset: int
    age_s: float
    epoch: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptRefusal:
    """A generation that a gateway has refused.

    Attributes:
        prompt_id: Identifies the prompt; a repeated request has the same.
        age_s: Seconds since the first attempt arrived.
        remaining_s: Seconds until the caller gives up.
    """

    prompt_id: str
    age_s: float
    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitingGeneration:
    """A generation that waits for capacity at a gateway.

    Attributes:
        service: The required service.
        urgency: Its class in the order of admission; 0 goes first.
        priority: Its rank in that class; 0 is the most urgent.
        is_crowding: True if its workspace uses far more than usual.
        remaining_s: Seconds until the target of its first token.
    """

    service: str
    urgency: int
    priority: int
    is_crowding: bool
    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankAdmissions:
    """What a gateway has admitted of one rank since its start.

    Attributes:
        priority: The rank.
        generations: The number of generations.
        tokens: Their KV cache in tokens.
    """

    priority: int
    generations: int
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceRate:
    """What a gateway has lately admitted for one workspace.

    Attributes:
        workspace: The workspace's name.
        tokens_per_s: KV cache admitted a second, in tokens.
    """

    workspace: str
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueReport:
    """What waits for capacity at a gateway, and what it has admitted.

    Attributes:
        waiting: The first of the waiting generations.
        admissions: What it has admitted, by rank. Only complete reports tell
            of it and of the rates.
        rates: What it admits for the workspaces that use the most.
    """

    waiting: tuple[WaitingGeneration, ...] = ()
    admissions: tuple[RankAdmissions, ...] = ()
    rates: tuple[WorkspaceRate, ...] = ()

    @property
    def is_empty(self) -> bool:
        """True when there is nothing to report."""
        return not (self.waiting or self.admissions or self.rates)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SpeedReport:
    """How long a piece of work took at an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        started_ms: When its incarnation started, in Unix milliseconds.
        kind: The kind of work.
        work: The amount of work, in the unit of its kind.
        seconds: How long it took.
        age_s: Seconds since it ended.
    """

    endpoint_id: str
    started_ms: int
    kind: str
    work: float
    seconds: float
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """What one gateway tells the others about its work.

    Attributes:
        sender: The address of the gateway that sends the report.
        incarnation: Identifies the gateway's process; new at each start.
        sequence: The report's number in that incarnation.
        is_complete: True when endpoints left out of the report have no load;
            False when their load is unchanged since the last report.
        loads: The load by endpoint id.
        topics: The ends of topics, as the gateway's own calls to the store
            showed them.
        refusals: The generations that it has refused lately.
        configuration_version: The configuration in force there, or None
            before it has one.
        queue: What waits for capacity there; empty where all generations
            have the same rank and no workspace.
        speeds: How long work took at endpoints lately.
        is_leaving: True when the gateway is being stopped.
    """

    sender: PeerAddress
    incarnation: str
    sequence: int
    is_complete: bool
    loads: Mapping[str, EndpointLoad]
    topics: Mapping[str, TopicEndReport] = dataclasses.field(
        default_factory=dict
    )
    refusals: tuple[PromptRefusal, ...] = ()
    configuration_version: int | None = None
    queue: QueueReport = QueueReport()
    speeds: tuple[SpeedReport, ...] = ()
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerMessage:
    """A message of one gateway to another.

    Attributes:
        sender: The address of the gateway that sends it.
        payload: The message; its format is up to those who exchange it.
    """

    sender: PeerAddress
    payload: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class TopicRecord:
    """A record of a topic that a gateway passes on.

    Attributes:
        key: The key.
        value: The key's value, or None when the key was removed.
        offset: The record's offset.
    """

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TopicPage:
    """Consecutive records of a topic that a gateway has read.

    Attributes:
        topic: The topic.
        offset: The offset of the first record.
        next_offset: The offset at which the next page starts.
        records: The records.
        epoch: The store's epoch in which they were read, or None when it isn't
            known.
    """

    topic: str
    offset: int
    next_offset: int
    records: tuple[TopicRecord, ...]
    epoch: int | None = None
