"""The kernels of the sidecar process of an endpoint. They do no I/O."""

from sassafrasstile.sidecar._base import (
    Append,
    CancelWork,
    Effect,
    ListWork,
    RunCall,
    Send,
    StartDecode,
    StartPrefill,
)
from sassafrasstile.sidecar._engine import EngineKernel
from sassafrasstile.sidecar._service import ServiceKernel
from sassafrasstile.sidecar._settings import (
    ClaimSettings,
    EngineLimits,
    LeaseSettings,
)

__all__ = [
    "Append",
    "CancelWork",
    "ClaimSettings",
    "Effect",
    "EngineKernel",
    "EngineLimits",
    "LeaseSettings",
    "ListWork",
    "RunCall",
    "Send",
    "ServiceKernel",
    "StartDecode",
    "StartPrefill",
]
