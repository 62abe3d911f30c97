"""Sends the demo's requests over HTTP and checks the answers."""

import json

from twisted.internet import defer
from twisted.web import client

from sassafrasstile import httpclient
from sassafrasstile import standins
from sassafrasstile.demo import _report
from sassafrasstile.demo import _site
from sassafrasstile.demo import _workload

_OK = 200


class Callers:
    """The callers of a run.

    Args:
        reactor: The reactor.
        urls: The gateways' base URLs.
        report: The report to which results are added.
    """

    def __init__(self, *, reactor, urls: list[str], report: _report.DemoReport):
        self._reactor = reactor
        self._clients = [
            httpclient.HttpClient(
                reactor=reactor, base_url=url, reuses_connections=True
            )
            for url in urls
        ]
        self._report = report
        self.refused_keys: set[str] = set()

    def close(self) -> None:
        """Closes the connections."""
        for http in self._clients:
            http.close()

    def send(self, step: _workload.Step, index: int) -> defer.Deferred:
        """Sends the requests of one step."""
        if step.kind == "booking":
            return defer.DeferredList(
                [
                    defer.ensureDeferred(self._call(step, index + repeat))
                    for repeat in range(step.repeats)
                ]
            )
        if step.kind == "lookup":
            return defer.ensureDeferred(self._call(step, index))
        return defer.ensureDeferred(self._generate(step, index))

    def _choose_client(self, index: int) -> httpclient.HttpClient:
        return self._clients[index % len(self._clients)]

    # Calls.

    async def _call(self, step: _workload.Step, index: int) -> None:
        http = self._choose_client(index)
        headers = {"x-workspace": "callers"}
        if step.kind == "lookup":
            sending = http.request(
                "GET", f"/services/{_site.SERVICE}/status", headers=headers
            )
        else:
            headers["idempotency-key"] = step.key
            sending = http.request(
                "POST",
                f"/services/{_site.SERVICE}/bookings",
                body=b"{}",
                headers=headers,
            )
        response = await sending
        content = await client.readBody(response)
        if response.code in (200, 201):
            self._report.accepted += 1
            self._report.complete += 1
            return
        self._record_refusal(json.loads(content), step.key)

    def _record_refusal(self, body: dict, key: str) -> None:
        if body["error"]["verdict"] == "not_run":
            self._report.refused_not_run += 1
            if key:
                self.refused_keys.add(key)
            return
        self._report.accepted += 1
        self._report.may_have_run += 1

    # Generation.

    async def _generate(self, step: _workload.Step, index: int) -> None:
        body = {
            "model": _site.MODEL,
            "max_tokens": step.max_tokens,
            "stream": True,
        }
        path = "/v1/completions"
        prompt = step.prompt
        if step.kind == "chat":
            path = "/v1/chat/completions"
            body["messages"] = [{"role": "user", "content": prompt}]
            prompt = f"user: {prompt}"
        else:
            body["prompt"] = prompt
        workspace = "callers" if step.kind == "chat" else "writers"
        started_at = self._reactor.seconds()
        response = await self._choose_client(index).request(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"x-workspace": workspace},
        )
        if response.code != _OK:
            content = await client.readBody(response)
            self._record_refusal(json.loads(content), "")
            return
        self._report.accepted += 1
        reader = _AnswerReader(reactor=self._reactor, started_at=started_at)
        ended = reader.read(response)
        if step.disconnects_after_s is not None:
            self._reactor.callLater(step.disconnects_after_s, reader.abort)
        await ended
        self._record_answer(step, prompt, reader)

    def _record_answer(
        self, step: _workload.Step, prompt: str, reader: "_AnswerReader"
    ) -> None:
        expected = standins.generate_text(prompt, step.max_tokens)
        if not reader.is_complete:
            if step.disconnects_after_s is None:
                self._report.wrong_answers += 1
            return
        if reader.text != expected:
            self._report.wrong_answers += 1
            return
        self._report.complete += 1
        self._report.first_token_s.append(reader.first_token_s)
        if reader.tokens > 1:
            self._report.per_token_s.append(
                (reader.last_token_s - reader.first_token_s)
                / (reader.tokens - 1)
            )


class _AnswerReader:
    """Reads one streamed answer and measures its token times."""

    def __init__(self, *, reactor, started_at: float):
        self._reactor = reactor
        self._started_at = started_at
        self._reader: httpclient.EventStreamReader | None = None
        self.text = ""
        self.is_complete = False
        self.first_token_s = 0.0
        self.last_token_s = 0.0
        self.tokens = 0

    def read(self, response) -> defer.Deferred:
        """Reads a body; the Deferred fires at the end of the body."""
        ended: defer.Deferred = defer.Deferred()
        self._reader = httpclient.EventStreamReader(
            on_data=self._add_event, on_end=lambda: ended.callback(None)
        )
        response.deliverBody(self._reader)
        return ended

    def abort(self) -> None:
        """Disconnects the caller."""
        self._reader.abort()

    def _add_event(self, data: str) -> None:
        if data == "[DONE]":
            self.is_complete = True
            return
        body = json.loads(data)
        if "error" in body:
            return
        if "usage" in body:
            self.tokens = body["usage"]["completion_tokens"]
            return
        choice = body["choices"][0]
        text = (
            choice["delta"]["content"] if "delta" in choice else choice["text"]
        )
        self.text += text
        self.last_token_s = self._reactor.seconds() - self._started_at
        if not self.first_token_s:
            self.first_token_s = self.last_token_s
