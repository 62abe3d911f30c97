"""Serves the plain service stand-in: bookings and status lookups."""

import collections

from sassafrasstile.standins import _http_base


class ServiceServer(_http_base.HttpStandin):
    """Counts each execution by idempotency key and doesn't deduplicate.

    `POST /bookings` runs a booking, `GET /status` returns the number of
    bookings, and `GET /executions` the number of executions by key.

    Args:
        reactor: The reactor.
        work_s: The duration of a call in seconds.
    """

    def __init__(self, *, reactor, work_s: float = 0.02):
        self.executions: collections.Counter[str] = collections.Counter()
        super().__init__(
            reactor=reactor,
            root=_ServiceResource(
                reactor=reactor, executions=self.executions, work_s=work_s
            ),
        )


class _ServiceResource(_http_base.JsonResource):
    routes = {
        ("POST", "/bookings"): "run_booking",
        ("GET", "/status"): "read_status",
        ("GET", "/executions"): "list_executions",
    }

    def __init__(self, *, reactor, executions, work_s):
        super().__init__()
        self._reactor = reactor
        self._executions = executions
        self._work_s = work_s

    def run_booking(self, request):
        key = request.getHeader("idempotency-key") or ""
        request.content.read()
        _http_base.track_disconnect(request)
        self._executions[key] += 1
        self._reactor.callLater(
            self._work_s,
            _http_base.finish_json,
            request,
            201,
            {"booked": True, "number": sum(self._executions.values())},
        )
        return _http_base.server.NOT_DONE_YET

    def read_status(self, request):
        _http_base.track_disconnect(request)
        self._reactor.callLater(
            self._work_s,
            _http_base.finish_json,
            request,
            200,
            {"bookings": sum(self._executions.values())},
        )
        return _http_base.server.NOT_DONE_YET

    def list_executions(self, request):
        return _http_base.answer_json(request, 200, dict(self._executions))
