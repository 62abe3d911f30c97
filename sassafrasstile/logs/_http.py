"""The log client `http`: the platform's log over HTTP."""

import pydantic
from twisted.internet import defer

from sassafrasstile import errors
from sassafrasstile import httpclient
from sassafrasstile import ownership
from sassafrasstile import plugins
from sassafrasstile.logs import _base

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
_RESPONSE_TIMEOUT_S = 2.0
# All records that the log of a service keeps take less (docs/CAPACITY.md).
_MAX_PAGE_BYTES = 16777216


class _Appended(pydantic.BaseModel):
    offset: int


class _Record(pydantic.BaseModel):
    offset: int
    at: float
    body: pydantic.Base64Bytes

    def convert(self) -> ownership.LogEntry:
        return ownership.LogEntry(
            offset=self.offset, at=self.at, body=self.body
        )


class _Page(pydantic.BaseModel):
    first: int
    next: int
    records: list[_Record]

    def convert(self) -> _base.LogPage:
        return _base.LogPage(
            first_offset=self.first,
            next_offset=self.next,
            entries=tuple(record.convert() for record in self.records),
        )


@plugins.register(plugins.Kind.LOG, "http")
class HttpLog(_base.LogClient):
    """Talks to the log over HTTP.

    Args:
        reactor: The reactor.
        url: The log's base URL.
    """

    def __init__(self, *, reactor, url: str):
        self.url = url
        self._reactor = reactor
        self._http = httpclient.HttpClient(
            reactor=reactor, base_url=url, reuses_connections=True
        )

    def close(self) -> None:
        """Closes all connections to the log."""
        self._http.close()

    def append(self, stream: str, body: bytes) -> defer.Deferred:
        """Appends a record."""
        return defer.ensureDeferred(self._append(stream, body))

    async def _append(self, stream: str, body: bytes) -> int:
        path = f"/v1/streams/{stream}/records"
        try:
            status, content = await self._exchange(
                "POST", path, body, _RESPONSE_TIMEOUT_S
            )
            if status == _HTTP_OK:
                return _Appended.model_validate_json(content).offset
        except httpclient.CONNECT_ERRORS as failure:
            raise errors.LogUnavailableError(
                detail=repr(failure), may_have_taken_effect=False
            ) from failure
        except Exception as failure:
            raise errors.LogUnavailableError(
                detail=repr(failure), may_have_taken_effect=True
            ) from failure
        raise errors.LogUnavailableError(
            detail=f"status {status}",
            may_have_taken_effect=status != _HTTP_UNAVAILABLE,
        )

    def read(self, stream: str, *, start: int, wait_s: float) -> defer.Deferred:
        """Reads records starting at an offset."""
        return defer.ensureDeferred(self._read(stream, start, wait_s))

    async def _read(
        self, stream: str, start: int, wait_s: float
    ) -> _base.LogPage:
        path = f"/v1/streams/{stream}/records?from={start}&wait={wait_s}"
        try:
            status, content = await self._exchange(
                "GET", path, None, wait_s + _RESPONSE_TIMEOUT_S
            )
            if status == _HTTP_OK:
                return _Page.model_validate_json(content).convert()
        except Exception as failure:
            raise errors.LogUnavailableError(
                detail=repr(failure), may_have_taken_effect=False
            ) from failure
        raise errors.LogUnavailableError(
            detail=f"status {status}", may_have_taken_effect=False
        )

    async def _exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        request = self._http.request(
            method, path, body=body, content_type="application/octet-stream"
        )
        request.addTimeout(timeout_s, self._reactor)
        response = await request
        body_read = httpclient.read_body(response, max_bytes=_MAX_PAGE_BYTES)
        body_read.addTimeout(timeout_s, self._reactor)
        return response.code, await body_read
