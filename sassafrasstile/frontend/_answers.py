"""Error responses, and the base class of HTTP exchanges."""

import json
import math

from sassafrasstile import errors
from sassafrasstile import gateway
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.frontend import _base

_STATUSES = {
    errors.Code.UNKNOWN_MODEL: 404,
    errors.Code.UNKNOWN_SERVICE: 404,
    errors.Code.KEY_REUSED: 409,
    errors.Code.REQUEST_TOO_LARGE: 413,
    errors.Code.WORKSPACE_LIMIT: 429,
}
_STATUS_NOT_RUN = 503
_STATUS_MAY_HAVE_RUN = 502
_STATUS_TIMEOUT = 504


def choose_status(verdict: verdicts.Verdict) -> int:
    """Returns the HTTP status for a refusal."""
    if verdict.code in _STATUSES:
        return _STATUSES[verdict.code]
    if isinstance(verdict, verdicts.NotRun):
        return _STATUS_NOT_RUN
    if verdict.code == errors.Code.DEADLINE_EXCEEDED:
        return _STATUS_TIMEOUT
    return _STATUS_MAY_HAVE_RUN


def make_error_body(
    *, request_id: str, verdict: verdicts.Verdict, detail: str
) -> dict:
    """Returns the JSON body of a refusal."""
    return {
        "error": {
            "message": detail,
            "type": "sassafrasstile_error",
            "code": str(verdict.code),
            "verdict": str(verdicts.name_verdict(verdict)),
            "request_id": request_id,
        }
    }


def set_common_headers(request, request_id: str) -> None:
    """Sets the headers that every response has."""
    request.setHeader(b"x-request-id", request_id.encode())


def write_refusal(
    request, *, request_id: str, verdict: verdicts.Verdict, detail: str
) -> None:
    """Answers a request with a refusal and finishes it."""
    request.setResponseCode(choose_status(verdict))
    set_common_headers(request, request_id)
    request.setHeader(b"content-type", b"application/json")
    retry_after_s = getattr(verdict, "retry_after_s", 0.0)
    if retry_after_s > 0:
        value = str(math.ceil(retry_after_s)).encode()
        request.setHeader(b"retry-after", value)
    body = make_error_body(
        request_id=request_id, verdict=verdict, detail=detail
    )
    request.write(json.dumps(body).encode())
    request.finish()


def write_request_error(
    request, *, request_id: str, error: errors.RequestError
) -> None:
    """Answers an invalid request with an error and finishes it."""
    request.setResponseCode(error.status)
    set_common_headers(request, request_id)
    request.setHeader(b"content-type", b"application/json")
    body = make_error_body(
        request_id=request_id,
        verdict=verdicts.NotRun(code=error.code),
        detail=error.detail,
    )
    request.write(json.dumps(body).encode())
    request.finish()


class HttpExchange(_base.Exchange):
    """An exchange over one HTTP request.

    Args:
        request: The twisted.web request.
        router: The gateway daemon.
        kernel_id: The request's id in the kernel.
        request_id: The request's id as sent to the caller.
    """

    def __init__(
        self, *, request, router: _base.Router, kernel_id: str, request_id: str
    ):
        self.request = request
        self.router = router
        self.kernel_id = kernel_id
        self.request_id = request_id
        self.is_open = True
        request.notifyFinish().addErrback(self._handle_disconnect)

    def _handle_disconnect(self, _) -> None:
        if self.is_open:
            self.is_open = False
            self.router.cancel(self.kernel_id, self)

    def finish(self) -> None:
        """Finishes the response."""
        self.is_open = False
        self.request.finish()

    def break_off(self) -> None:
        """Ends a response that has begun, so that it appears incomplete."""
        self.is_open = False
        web.break_off(self.request)

    def refuse(self, effect: gateway.Refuse) -> None:
        """Answers with a refusal; nothing may have been written before."""
        self.is_open = False
        write_refusal(
            self.request,
            request_id=self.request_id,
            verdict=effect.verdict,
            detail=effect.detail,
        )

    def supersede(self) -> None:
        """Ends the exchange because the caller has sent the request again."""
        self.handle(
            gateway.Refuse(
                request_id=self.kernel_id,
                verdict=verdicts.MayHaveRun(code=errors.Code.SUPERSEDED),
                detail="The caller sent the request again.",
            )
        )
