"""The protocol between gateways and sidecars, based on grpclib."""

from sassafrasstile.wire._codec import (
    decode,
    encode,
    list_message_types,
    restore_identity,
    strip_identity,
)
from sassafrasstile.wire._links import LinkClient, LinkServer

__all__ = [
    "LinkClient",
    "LinkServer",
    "decode",
    "encode",
    "list_message_types",
    "restore_identity",
    "strip_identity",
]
