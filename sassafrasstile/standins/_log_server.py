"""Serves the log stand-in over HTTP."""

import base64

from sassafrasstile.standins import _http_base
from sassafrasstile.standins import _log_model

_MAX_RECORDS_PER_READ = 1000
_MAX_WAIT_S = 30.0
_POLL_INTERVAL_S = 0.02


class LogServer(_http_base.HttpStandin):
    """Serves a log model.

    `POST /v1/streams/NAME/records` appends the body and returns its offset;
    `GET` on the same path reads from the offset `from` and waits up to `wait`
    seconds for a record. For tests, `POST /faults` sets `down` and
    `lose_answers`, the number of appends that succeed without an answer.

    Args:
        reactor: The reactor.
        limits: The log's limits.
    """

    def __init__(self, *, reactor, limits: _log_model.LogLimits | None = None):
        self.model = _log_model.LogModel(limits=limits)
        self.resource = _LogResource(reactor=reactor, model=self.model)
        super().__init__(reactor=reactor, root=self.resource)


class _LogResource(_http_base.JsonResource):
    routes = {("POST", "/faults"): "set_faults"}

    def __init__(self, *, reactor, model):
        super().__init__()
        self._reactor = reactor
        self._model = model
        self.lose_answers = 0

    def find_route(self, method, path):
        parts = path.strip("/").split("/")
        if len(parts) != 4 or parts[:2] != ["v1", "streams"]:
            return None
        return {"POST": "append", "GET": "read"}.get(method)

    def _find_stream(self, request):
        return request.path.decode().strip("/").split("/")[2]

    def append(self, request):
        try:
            offset = self._model.append(
                self._find_stream(request),
                request.content.read(),
                now=self._reactor.seconds(),
            )
        except _log_model.LogDownError as error:
            return _http_base.answer_json(request, 503, {"error": str(error)})
        if self.lose_answers > 0:
            self.lose_answers -= 1
            request.loseConnection()
            return _http_base.server.NOT_DONE_YET
        return _http_base.answer_json(request, 200, {"offset": offset})

    def read(self, request):
        start = int(request.args.get(b"from", [b"0"])[0])
        wait_s = float(request.args.get(b"wait", [b"0"])[0])
        _http_base.track_disconnect(request)
        deadline = self._reactor.seconds() + min(wait_s, _MAX_WAIT_S)
        self._answer_read(request, start, deadline)
        return _http_base.server.NOT_DONE_YET

    def _answer_read(self, request, start, deadline):
        if request.is_disconnected:
            return
        now = self._reactor.seconds()
        try:
            first_offset, next_offset, records = self._model.read(
                self._find_stream(request),
                start=start,
                limit=_MAX_RECORDS_PER_READ,
                now=now,
            )
        except _log_model.LogDownError as error:
            _http_base.finish_json(request, 503, {"error": str(error)})
            return
        if not records and now < deadline:
            self._reactor.callLater(
                _POLL_INTERVAL_S, self._answer_read, request, start, deadline
            )
            return
        rows = [
            {
                "offset": record.offset,
                "at": record.at,
                "body": base64.b64encode(record.body).decode(),
            }
            for record in records
        ]
        _http_base.finish_json(
            request,
            200,
            {"first": first_offset, "next": next_offset, "records": rows},
        )

    def set_faults(self, request):
        body = _http_base.read_json(request)
        self._model.is_down = bool(body.get("down", self._model.is_down))
        self.lose_answers = int(body.get("lose_answers", self.lose_answers))
        return _http_base.answer_json(request, 200, body)
