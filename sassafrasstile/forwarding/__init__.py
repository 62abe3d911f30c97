"""Carries callers' requests to endpoints and their answers back."""

from sassafrasstile.forwarding._base import (
    AnswerKind,
    EndpointCodec,
    KvHandle,
    OutgoingRequest,
    RequestDetails,
)
from sassafrasstile.forwarding._context import ForwardingContext
from sassafrasstile.forwarding._probes import Prober
from sassafrasstile.forwarding._router import Router
from sassafrasstile.forwarding._side_calls import send_order

__all__ = [
    "AnswerKind",
    "EndpointCodec",
    "ForwardingContext",
    "KvHandle",
    "OutgoingRequest",
    "Prober",
    "RequestDetails",
    "Router",
    "send_order",
]
