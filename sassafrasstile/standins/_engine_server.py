"""Serves the engine stand-in over HTTP."""

import json

from twisted.internet import defer

from sassafrasstile import httpclient
from sassafrasstile.standins import _engine_model
from sassafrasstile.standins import _http_base


class EngineServer(_http_base.HttpStandin):
    """Serves an engine model over its OpenAI-style interface.

    Args:
        reactor: The reactor.
        speed: The engine's speed and capacity.
        checks_fence: True when orders with an outdated fencing token are
            refused.
        load_lag_s: Seconds by which the load report is delayed.
    """

    def __init__(
        self,
        *,
        reactor,
        speed: _engine_model.EngineSpeed | None = None,
        checks_fence: bool = True,
        load_lag_s: float = 0.5,
    ):
        self.model = _engine_model.EngineModel(speed=speed)
        self.resource = _EngineResource(
            reactor=reactor,
            model=self.model,
            checks_fence=checks_fence,
            load_lag_s=load_lag_s,
        )
        super().__init__(reactor=reactor, root=self.resource)


class _EngineResource(_http_base.JsonResource):
    routes = {
        ("POST", "/v1/completions"): "complete",
        ("POST", "/v1/abort"): "abort",
        ("GET", "/v1/requests"): "list_requests",
        ("GET", "/load"): "read_load",
        ("POST", "/v1/orders"): "take_order",
    }

    def __init__(self, *, reactor, model, checks_fence, load_lag_s):
        super().__init__()
        self._reactor = reactor
        self._model = model
        self._checks_fence = checks_fence
        self._load_lag_s = load_lag_s
        self._open_requests: dict[str, object] = {}
        self._timer = None
        self._load_reports: list[tuple[float, dict]] = []

    def find_route(self, method, path):
        if method == "GET" and path.startswith("/kv/"):
            return "export"
        return None

    # Work.

    def complete(self, request):
        body = _http_base.read_json(request)
        params = body.get("kv_transfer_params", {})
        _http_base.track_disconnect(request)
        request.notifyFinish().addErrback(
            lambda _: self._cancel_work(body["request_id"])
        )
        try:
            if params.get("do_remote_decode"):
                self._start_prefill(request, body)
            else:
                self._decode(request, body, params)
        except _engine_model.NotAcceptedError as error:
            return _http_base.answer_json(
                request, error.status, {"error": str(error)}
            )
        return _http_base.server.NOT_DONE_YET

    def _start_prefill(self, request, body):
        work_id = body["request_id"]
        self._model.start_prefill(
            work_id,
            prompt=body["prompt"],
            tokens=body["prompt_tokens"],
            priority=body.get("priority", 0),
            now=self._reactor.seconds(),
        )
        self._open_requests[work_id] = request
        self._schedule()

    def _decode(self, request, body, params):
        self._model.reserve_import(
            body["request_id"],
            tokens=body["prompt_tokens"] + body["max_tokens"],
        )
        fetching = self._fetch_kv_cache(params)
        fetching.addTimeout(params.get("timeout_s") or 60.0, self._reactor)
        fetching.addCallbacks(
            lambda _: self._start_decode(request, body),
            lambda failure: self._fail_decode(request, body, failure),
        )

    def _fetch_kv_cache(self, params) -> defer.Deferred:
        if not params.get("do_remote_prefill"):
            return defer.succeed(None)
        http = httpclient.HttpClient(
            reactor=self._reactor, base_url=params["remote_address"]
        )

        async def run():
            path = "/kv/" + params["remote_handle"]
            status, _ = await http.request_json("GET", path)
            if status != 200:
                raise _engine_model.NotAcceptedError(
                    status=404, detail="the prefill result is gone"
                )

        fetching = defer.ensureDeferred(run())

        def close(result):
            http.close()
            return result

        return fetching.addBoth(close)

    def _start_decode(self, request, body):
        work_id = body["request_id"]
        try:
            self._model.start_decode(
                work_id,
                prompt=body["prompt"],
                sent=len(body.get("resume_texts", ())),
                max_tokens=body["max_tokens"],
                now=self._reactor.seconds(),
            )
        except _engine_model.NotAcceptedError as error:
            _http_base.finish_json(request, error.status, {"error": str(error)})
            return
        self._open_requests[work_id] = request
        if not request.is_disconnected:
            request.setHeader(b"content-type", b"text/event-stream")
        self._schedule()

    def _fail_decode(self, request, body, failure):
        self._model.cancel(body["request_id"], now=self._reactor.seconds())
        was_refused = failure.check(_engine_model.NotAcceptedError)
        status = 404 if was_refused else 504
        _http_base.finish_json(
            request, status, {"error": failure.getErrorMessage()}
        )

    def export(self, request):
        handle = request.path.decode().removeprefix("/kv/")
        now = self._reactor.seconds()
        try:
            done_at = self._model.start_export(handle, now=now)
        except _engine_model.NotAcceptedError as error:
            return _http_base.answer_json(
                request, error.status, {"error": str(error)}
            )
        _http_base.track_disconnect(request)
        self._reactor.callLater(
            max(0.0, done_at - now), self._finish_export, request, handle
        )
        return _http_base.server.NOT_DONE_YET

    def _finish_export(self, request, handle):
        try:
            tokens = self._model.finish_export(handle)
        except _engine_model.NotAcceptedError as error:
            _http_base.finish_json(request, error.status, {"error": str(error)})
            return
        _http_base.finish_json(request, 200, {"tokens": tokens})

    def abort(self, request):
        work_id = _http_base.read_json(request)["request_id"]
        self._cancel_work(work_id)
        return _http_base.answer_json(request, 200, {"released": True})

    def _cancel_work(self, work_id):
        self._model.cancel(work_id, now=self._reactor.seconds())
        request = self._open_requests.pop(work_id, None)
        if request is not None and not request.is_disconnected:
            request.is_disconnected = True
            request.loseConnection()

    # Time.

    def _schedule(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self._model.find_next_time()
        if at is not None:
            delay_s = max(0.0, at - self._reactor.seconds())
            self._timer = self._reactor.callLater(delay_s, self._advance)

    def _advance(self):
        self._timer = None
        for event in self._model.advance(self._reactor.seconds()):
            self._handle_event(event)
        self._schedule()

    def _handle_event(self, event):
        match event:
            case _engine_model.PrefillDone():
                self._answer_prefill(event)
            case _engine_model.Generated():
                self._write_token(event)

    def _answer_prefill(self, event):
        request = self._open_requests.pop(event.work_id, None)
        if request is None:
            return
        _http_base.finish_json(
            request,
            200,
            {
                "id": event.work_id,
                "choices": [{"text": "", "finish_reason": "length"}],
                "usage": {"computed_tokens": event.computed_tokens},
                "kv_transfer_params": {"remote_handle": event.work_id},
            },
        )

    def _write_token(self, event):
        request = self._open_requests.get(event.work_id)
        if request is None or request.is_disconnected:
            return
        choice = {"text": event.text, "finish_reason": event.reason or None}
        data = json.dumps({"id": event.work_id, "choices": [choice]})
        request.write(f"data: {data}\n\n".encode())
        if event.reason:
            del self._open_requests[event.work_id]
            request.write(b"data: [DONE]\n\n")
            request.finish()

    # Load reports and orders.

    def list_requests(self, request):
        return _http_base.answer_json(
            request, 200, {"requests": self._model.list_work()}
        )

    def read_load(self, request):
        now = self._reactor.seconds()
        report = {
            "slots": self._model.speed.slots,
            "used": self._model.count_used_slots(),
            "used_pieces": self._model.count_used_pieces(),
            "computed_tokens": self._model.computed_tokens,
            "generated_tokens": self._model.generated_tokens,
        }
        self._load_reports.append((now, report))
        old = [
            entry
            for at, entry in self._load_reports
            if at <= now - self._load_lag_s
        ]
        self._load_reports = [
            entry
            for entry in self._load_reports
            if entry[0] > now - 2 * self._load_lag_s
        ]
        return _http_base.answer_json(request, 200, old[-1] if old else report)

    def take_order(self, request):
        body = _http_base.read_json(request)
        fence = body.get("fence", 0)
        if self._checks_fence and fence < self._model.fence:
            return _http_base.answer_json(
                request, 409, {"error": f"fence is {self._model.fence}"}
            )
        self._model.fence = max(self._model.fence, fence)
        return _http_base.answer_json(request, 200, {"order": body})
