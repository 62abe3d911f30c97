"""Exchange of load reports between gateways over UDP."""

from sassafrasstile.peers._base import (
    EndpointLoad,
    LoadReport,
    PeerAddress,
    PeerMessage,
    PromptRefusal,
    TopicEndReport,
    TopicPage,
    TopicRecord,
)
from sassafrasstile.peers._channel import PeerChannel
from sassafrasstile.peers._directory import PeerDirectory

__all__ = [
    "EndpointLoad",
    "LoadReport",
    "PeerAddress",
    "PeerChannel",
    "PeerDirectory",
    "PeerMessage",
    "PromptRefusal",
    "TopicEndReport",
    "TopicPage",
    "TopicRecord",
]
