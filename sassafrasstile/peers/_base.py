"""What gateways tell each other."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """Where a gateway hears from others.

    Attributes:
        name: The gateway's name.
        host: Its IP number.
        port: Its UDP port.
    """

    name: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointLoad:
    """What one gateway has in flight at one endpoint.

    Attributes:
        in_flight: Requests.
        reserved_tokens: KV memory that these take at their end.
        prefill_tokens: Prompt tokens being read.
        is_changing: True while its role is being changed, which the gateway
            that gave the order knows.
        is_unreachable: True when the gateway couldn't reach it.
    """

    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    is_changing: bool = False
    is_unreachable: bool = False

    @property
    def is_empty(self) -> bool:
        """True when there is nothing to tell."""
        return self == _NO_LOAD


_NO_LOAD = EndpointLoad()


@dataclasses.dataclass(frozen=True, kw_only=True)
class TopicAge:
    """Where a topic of the store ended a while ago.

    Attributes:
        next_offset: The offset of the record that would have come next.
        age_s: How long ago, in seconds.
    """

    next_offset: int
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """One gateway's load on all endpoints, and what it knows of the store.

    Attributes:
        sender: Where the gateway hears from others.
        incarnation: This start of the gateway.
        sequence: The report's number in that incarnation.
        is_whole: True when endpoints that it leaves out have no load; False
            when they have the load that was told before.
        loads: The load by endpoint id.
        topics: Where topics ended, by the gateway's own calls.
    """

    sender: PeerAddress
    incarnation: str
    sequence: int
    is_whole: bool
    loads: Mapping[str, EndpointLoad]
    topics: Mapping[str, TopicAge] = dataclasses.field(default_factory=dict)
