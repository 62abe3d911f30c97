"""Gateways that tell each other what they have in flight."""

from sassafrasstile.peers._base import (
    EndpointLoad,
    LoadReport,
    PeerAddress,
    TopicAge,
)
from sassafrasstile.peers._channel import PeerChannel
from sassafrasstile.peers._directory import PeerDirectory

__all__ = [
    "EndpointLoad",
    "LoadReport",
    "PeerAddress",
    "PeerChannel",
    "PeerDirectory",
    "TopicAge",
]
