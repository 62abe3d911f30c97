"""HTTP plumbing that the adapters share."""

from sassafrasstile.web._admin import AdminResource
from sassafrasstile.web._client import (
    NOT_CONNECTED,
    EventStreamReader,
    HttpClient,
)
from sassafrasstile.web._connection import (
    ConnectionPool,
    ExchangeError,
    Headers,
    Reply,
    ResponseHead,
)
from sassafrasstile.web._ingress import (
    CallerRequest,
    IngressFactory,
    IngressRequest,
    drop_hop_headers,
)

__all__ = [
    "NOT_CONNECTED",
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
    "drop_hop_headers",
]
