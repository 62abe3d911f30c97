"""HTTP plumbing that the adapters share."""

from sassafrasstile.web._client import (
    NOT_CONNECTED,
    EventStreamReader,
    HttpClient,
)

__all__ = ["NOT_CONNECTED", "EventStreamReader", "HttpClient"]
