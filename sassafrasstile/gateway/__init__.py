"""The kernel of the gateway process: its routing logic, without I/O."""

from sassafrasstile.gateway._answer import AnswerAssembler
from sassafrasstile.gateway._arrival import make_arrival_verdict
from sassafrasstile.gateway._base import (
    Answer,
    CallRequest,
    Complete,
    Deliver,
    Effect,
    GenerationRequest,
    InquiryRequest,
    Reconnect,
    Refuse,
    Report,
    Send,
)
from sassafrasstile.gateway._budget import RetryBudget
from sassafrasstile.gateway._endpoints import Endpoint
from sassafrasstile.gateway._kernel import GatewayKernel
from sassafrasstile.gateway._settings import GatewaySettings
from sassafrasstile.gateway._subsets import choose_subset

__all__ = [
    "Answer",
    "AnswerAssembler",
    "CallRequest",
    "Complete",
    "Deliver",
    "Effect",
    "Endpoint",
    "GatewayKernel",
    "GatewaySettings",
    "GenerationRequest",
    "InquiryRequest",
    "Reconnect",
    "Refuse",
    "Report",
    "RetryBudget",
    "Send",
    "choose_subset",
    "make_arrival_verdict",
]
