"""Exchange of load reports between gateways over UDP."""

from sassafrasstile.peers._base import (
    MAX_REPORTED_RANKS,
    EndpointLoad,
    LoadReport,
    PeerAddress,
    PeerMessage,
    PromptRefusal,
    QueueReport,
    RankAdmissions,
    SpeedReport,
    TopicEndReport,
    TopicPage,
    TopicRecord,
    WaitingGeneration,
    WorkspaceRate,
)
from sassafrasstile.peers._channel import PeerChannel
from sassafrasstile.peers._directory import PeerDirectory
from sassafrasstile.peers._messenger import Messenger
from sassafrasstile.peers._protocol import PeerProtocol
from sassafrasstile.peers._questions import QuestionTable
from sassafrasstile.peers._rendezvous import weigh
from sassafrasstile.peers._transport import NoTransport, Transport

__all__ = [
    "MAX_REPORTED_RANKS",
    "EndpointLoad",
    "LoadReport",
    "Messenger",
    "NoTransport",
    "PeerAddress",
    "PeerChannel",
    "PeerDirectory",
    "PeerMessage",
    "PeerProtocol",
    "PromptRefusal",
    "QuestionTable",
    "QueueReport",
    "RankAdmissions",
    "SpeedReport",
    "TopicEndReport",
    "TopicPage",
    "TopicRecord",
    "Transport",
    "WaitingGeneration",
    "WorkspaceRate",
    "weigh",
]
