"""An HTTP client, and a reader of server-sent events.

It is a package of its own, since gateways on the users' platform don't need it
and start sooner without its imports.
"""

from sassafrasstile.httpclient._bounds import (
    MAX_BODY_BYTES,
    BodyTooLargeError,
    read_body,
)
from sassafrasstile.httpclient._client import (
    CONNECT_ERRORS,
    EventStreamReader,
    HttpClient,
)

__all__ = [
    "BodyTooLargeError",
    "CONNECT_ERRORS",
    "EventStreamReader",
    "HttpClient",
    "MAX_BODY_BYTES",
    "read_body",
]
