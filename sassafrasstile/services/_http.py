"""The service adapter `http`: plain HTTP calls."""

import logging

from twisted.internet import defer

from sassafrasstile import httpclient
from sassafrasstile import messages
from sassafrasstile import plugins
from sassafrasstile.services import _base

_LOG = logging.getLogger("sassafrasstile.service")


@plugins.register(plugins.Kind.SERVICE, "http")
class HttpService(_base.Service):
    """Talks to a plain service over HTTP.

    Args:
        reactor: The reactor.
        url: The service's base URL.
    """

    def __init__(self, *, reactor, url: str):
        self.url = url
        self._reactor = reactor
        self._http = httpclient.HttpClient(reactor=reactor, base_url=url)
        self._listener: _base.ServiceListener | None = None

    def start(self, listener: _base.ServiceListener) -> None:
        """Sets the listener that receives the reports."""
        self._listener = listener

    def close(self) -> None:
        """Closes all connections to the service."""
        self._http.close()

    def run_call(self, call_id: str, call: messages.Call) -> None:
        """Sends a call to the service exactly once, without retries."""
        deferred = defer.ensureDeferred(self._run(call_id, call))
        deferred.addErrback(
            lambda failure: _LOG.error(
                "service: unexpected failure: %s", failure.getTraceback()
            )
        )

    async def _run(self, call_id: str, call: messages.Call) -> None:
        headers = {"idempotency-key": call.key} if call.key else {}
        request = self._http.request(
            call.method,
            call.path,
            body=call.body or None,
            content_type=call.content_type or "application/octet-stream",
            headers=headers,
        )
        if call.limit_s > 0:
            request.addTimeout(call.limit_s, self._reactor)
        try:
            response = await request
            body_read = httpclient.read_body(response)
            if call.limit_s > 0:
                body_read.addTimeout(call.limit_s, self._reactor)
            body = await body_read
        except httpclient.CONNECT_ERRORS:
            self._listener.fail_call(call_id, sent=False)
            return
        except Exception as failure:
            _LOG.info("service: call %s failed: %r", call_id, failure)
            self._listener.fail_call(call_id, sent=True)
            return
        content_types = response.headers.getRawHeaders("content-type", [""])
        self._listener.finish_call(
            call_id,
            status=response.code,
            content_type=content_types[0],
            body=body,
        )
