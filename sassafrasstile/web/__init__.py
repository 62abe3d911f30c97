"""HTTP servers and connections on Twisted, shared by the other packages."""

from sassafrasstile.web._admin import AdminPages
from sassafrasstile.web._bounds import DEFAULT_BOUNDS, ReadBounds, ReadKind
from sassafrasstile.web._delivery import break_off
from sassafrasstile.web._ingress import (
    DEFAULT_CALLER_STALL_S,
    CallerRequest,
    IngressFactory,
    IngressRequest,
    drop_hop_by_hop_headers,
)
from sassafrasstile.web._listening import close_port
from sassafrasstile.web._meter import DEFAULT_MAX_BUFFERED_BYTES, BufferMeter
from sassafrasstile.web._pool import ConnectionPool
from sassafrasstile.web._reply import (
    BoundExceededError,
    ExchangeError,
    Headers,
    Reply,
    ResponseHead,
)
from sassafrasstile.web._site import CallerSite

__all__ = [
    "AdminPages",
    "BoundExceededError",
    "BufferMeter",
    "CallerRequest",
    "CallerSite",
    "ConnectionPool",
    "DEFAULT_BOUNDS",
    "DEFAULT_CALLER_STALL_S",
    "DEFAULT_MAX_BUFFERED_BYTES",
    "ExchangeError",
    "Headers",
    "IngressFactory",
    "IngressRequest",
    "ReadBounds",
    "ReadKind",
    "Reply",
    "ResponseHead",
    "break_off",
    "close_port",
    "drop_hop_by_hop_headers",
]
