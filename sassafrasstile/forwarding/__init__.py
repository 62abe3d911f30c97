"""Forwards callers' requests to endpoints and returns the answers."""

from sassafrasstile.forwarding._base import (
    AnswerKind,
    EndpointCodec,
    KvHandle,
    OutgoingRequest,
    RequestDetails,
)
from sassafrasstile.forwarding._context import ForwardingContext
from sassafrasstile.forwarding._probes import Prober
from sassafrasstile.forwarding._admission import AdmissionController
from sassafrasstile.forwarding._router import Router
from sassafrasstile.forwarding._control_calls import send_order
from sassafrasstile.forwarding._shutdown import ShutdownSchedule
from sassafrasstile.forwarding._task import RequestTask

__all__ = [
    "AnswerKind",
    "EndpointCodec",
    "ForwardingContext",
    "KvHandle",
    "OutgoingRequest",
    "Prober",
    "RequestDetails",
    "RequestTask",
    "AdmissionController",
    "Router",
    "ShutdownSchedule",
    "send_order",
]
