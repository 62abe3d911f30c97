"""HTTP servers and clients on Twisted, shared by the other packages."""

from sassafrasstile.web._admin import AdminResource
from sassafrasstile.web._client import (
    CONNECT_ERRORS,
    EventStreamReader,
    HttpClient,
)
from sassafrasstile.web._ingress import (
    CallerRequest,
    IngressFactory,
    IngressRequest,
    drop_hop_by_hop_headers,
)
from sassafrasstile.web._pool import ConnectionPool
from sassafrasstile.web._reply import (
    ExchangeError,
    Headers,
    Reply,
    ResponseHead,
)

__all__ = [
    "CONNECT_ERRORS",
    "AdminResource",
    "CallerRequest",
    "ConnectionPool",
    "EventStreamReader",
    "ExchangeError",
    "Headers",
    "HttpClient",
    "IngressFactory",
    "IngressRequest",
    "Reply",
    "ResponseHead",
    "drop_hop_by_hop_headers",
]
