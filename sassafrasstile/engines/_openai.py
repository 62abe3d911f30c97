"""The engine adapter `openai`: completions with server-sent events.

KV transfers use the field `kv_transfer_params`, as in engines that support
separate prefill and decode; docs/interfaces.md lists every field used.
"""

from collections.abc import Callable
import json
import logging

from twisted.internet import defer
from twisted.internet import error

from sassafrasstile import errors
from sassafrasstile import httpclient
from sassafrasstile import messages
from sassafrasstile import plugins
from sassafrasstile.engines import _base
from sassafrasstile.engines import _models

_LOG = logging.getLogger("sassafrasstile.engine")
_HTTP_OK = 200
_NOT_STARTED_STATUSES = frozenset({404, 409, 429, 503})
_LIST_RETRY_S = 0.5


@plugins.register(plugins.Kind.ENGINE, "openai")
class OpenAIEngine(_base.Engine):
    """Talks to an engine over its OpenAI-style HTTP interface.

    Args:
        reactor: The reactor.
        url: The engine's base URL.
    """

    def __init__(self, *, reactor, url: str):
        self.url = url
        self._reactor = reactor
        self._http = httpclient.HttpClient(reactor=reactor, base_url=url)
        self._listener: _base.EngineListener | None = None
        self._readers: dict[str, httpclient.EventStreamReader] = {}
        self._running: set[str] = set()
        self._cancelled: set[str] = set()
        self._closed = False

    def start(self, listener: _base.EngineListener) -> None:
        """Sets the listener that receives the reports."""
        self._listener = listener

    def close(self) -> None:
        """Closes all connections to the engine."""
        self._closed = True
        for reader in list(self._readers.values()):
            reader.abort()
        self._readers.clear()
        self._http.close()

    def start_prefill(self, work_id: str, message: messages.Prefill) -> None:
        """Starts a prefill."""
        self._running.add(work_id)
        self._spawn(self._prefill(work_id, message))

    def start_decode(self, work_id: str, message: messages.Decode) -> None:
        """Starts a decode, which imports the KV cache of its prefill."""
        self._running.add(work_id)
        self._spawn(self._decode(work_id, message))

    def cancel(self, work_id: str) -> None:
        """Cancels work so that the engine frees its memory."""
        self._cancelled.add(work_id)
        self._spawn(self._cancel(work_id))

    def request_work_list(self) -> None:
        """Asks the engine for the ids of all work that it holds."""
        self._spawn(self._list())

    def _spawn(self, coroutine) -> None:
        deferred = defer.ensureDeferred(coroutine)
        deferred.addErrback(
            lambda failure: _LOG.error(
                "engine: unexpected failure: %s", failure.getTraceback()
            )
        )

    async def _prefill(self, work_id: str, message: messages.Prefill) -> None:
        started_at = self._reactor.seconds()
        body = {
            "request_id": work_id,
            "model": message.model,
            "prompt": message.prompt,
            "prompt_tokens": message.prompt_tokens,
            "resume_texts": list(message.sent),
            "max_tokens": 1,
            "priority": message.priority,
            "stream": False,
            "kv_transfer_params": {"do_remote_decode": True},
        }
        response = await self._complete(work_id, body)
        if response is None:
            return
        try:
            content = await httpclient.read_body(response)
            answer = _models.PrefillAnswer.model_validate_json(content)
        except Exception as failure:
            _LOG.info("engine: prefill %s failed: %r", work_id, failure)
            self._fail(work_id, errors.Code.ENGINE_FAILED, started=True)
            return
        if self._record_end(work_id):
            return
        self._listener.finish_prefill(
            work_id,
            handle=answer.kv_transfer_params.remote_handle,
            computed_tokens=answer.usage.computed_tokens,
            took_s=self._reactor.seconds() - started_at,
        )

    async def _decode(self, work_id: str, message: messages.Decode) -> None:
        body = {
            "request_id": work_id,
            "model": message.model,
            "prompt": message.prompt,
            "prompt_tokens": message.prompt_tokens,
            "resume_texts": list(message.sent),
            "max_tokens": message.max_tokens,
            "priority": message.priority,
            "stream": True,
            "kv_transfer_params": {
                "do_remote_prefill": True,
                "remote_address": message.source_address,
                "remote_handle": message.handle,
                "timeout_s": message.transfer_limit_s,
            },
        }
        response = await self._complete(work_id, body)
        if response is None:
            return
        stream = _TokenStream(
            reactor=self._reactor,
            on_tokens=lambda texts: self._add_tokens(work_id, texts),
            on_end=lambda reason: self._end_decode(work_id, reason),
        )
        self._readers[work_id] = stream.reader
        response.deliverBody(stream.reader)

    async def _complete(self, work_id: str, body: dict):
        """Asks for a completion.

        Returns:
            The response if the engine has accepted the work; None once it is
            reported as failed.
        """
        try:
            response = await self._http.request(
                "POST", "/v1/completions", body=json.dumps(body).encode()
            )
        except httpclient.CONNECT_ERRORS:
            self._fail(work_id, errors.Code.ENGINE_FAILED, started=False)
            return None
        except Exception as failure:
            _LOG.info("engine: work %s failed: %r", work_id, failure)
            self._fail(work_id, errors.Code.ENGINE_FAILED, started=True)
            return None
        if response.code == _HTTP_OK:
            return response
        await self._drain(work_id, response)
        self._fail_by_status(work_id, response.code)
        return None

    @staticmethod
    async def _drain(work_id: str, response) -> None:
        """Reads an error's text, so that its connection can be used again."""
        try:
            await httpclient.read_body(response)
        except Exception as failure:
            _LOG.info("engine: error of work %s is cut: %r", work_id, failure)

    def _add_tokens(self, work_id: str, texts: tuple[str, ...]) -> None:
        if work_id not in self._cancelled:
            self._listener.add_tokens(work_id, texts)

    def _end_decode(self, work_id: str, reason: str) -> None:
        self._readers.pop(work_id, None)
        if not reason:
            self._fail(work_id, errors.Code.ENGINE_FAILED, started=True)
        elif not self._record_end(work_id):
            self._listener.finish_decode(work_id, reason=reason)

    async def _cancel(self, work_id: str) -> None:
        try:
            status, _ = await self._http.request_json(
                "POST", "/v1/abort", {"request_id": work_id}
            )
        except error.ConnectionRefusedError:
            # Nothing listens there, so the engine is down and holds no work.
            # An engine that can't be reached may still hold it.
            status = _HTTP_OK
        except Exception as failure:
            _LOG.info("engine: cancelling %s failed: %r", work_id, failure)
            return
        reader = self._readers.pop(work_id, None)
        if reader is not None:
            reader.abort()
        if status == _HTTP_OK and not self._closed:
            if work_id not in self._running:
                self._cancelled.discard(work_id)
            self._listener.confirm_cancel(work_id)

    async def _list(self) -> None:
        try:
            work = await self._http.request_model(
                "GET", "/v1/requests", _models.WorkList
            )
        except Exception as failure:
            _LOG.info("engine: list of work not received: %r", failure)
            if not self._closed:
                self._reactor.callLater(_LIST_RETRY_S, self._list_again)
            return
        self._listener.reconcile_work(tuple(work.requests))

    def _list_again(self) -> None:
        if not self._closed:
            self.request_work_list()

    def _record_end(self, work_id: str) -> bool:
        """Records the end of work and returns whether not to report it.

        For cancelled work only the cancellation is reported, whether the
        response to the work or the one to the cancellation arrives first.
        """
        self._running.discard(work_id)
        was_cancelled = work_id in self._cancelled
        self._cancelled.discard(work_id)
        return was_cancelled or self._closed

    def _fail_by_status(self, work_id: str, status: int) -> None:
        code = errors.Code.ENGINE_FAILED
        if status in (404, 504):
            code = errors.Code.TRANSFER_FAILED
        elif status == 429:
            code = errors.Code.NO_CAPACITY
        self._fail(work_id, code, started=status not in _NOT_STARTED_STATUSES)

    def _fail(self, work_id: str, code: errors.Code, *, started: bool) -> None:
        if self._record_end(work_id):
            return
        self._listener.fail_work(work_id, code=code, started=started)


class _TokenStream:
    """Batches the tokens that arrive in one reactor iteration."""

    def __init__(
        self,
        *,
        reactor,
        on_tokens: Callable[[tuple[str, ...]], None],
        on_end: Callable[[str], None],
    ):
        self._reactor = reactor
        self._on_tokens = on_tokens
        self._on_end = on_end
        self._texts: list[str] = []
        self._reason = ""
        self.reader = httpclient.EventStreamReader(
            on_data=self._add, on_end=self._end
        )

    def _add(self, data: str) -> None:
        if data == "[DONE]":
            return
        choice = json.loads(data)["choices"][0]
        if choice["text"]:
            if not self._texts:
                self._reactor.callLater(0, self._flush)
            self._texts.append(choice["text"])
        if choice.get("finish_reason"):
            self._reason = choice["finish_reason"]

    def _flush(self) -> None:
        texts = tuple(self._texts)
        self._texts.clear()
        if texts:
            self._on_tokens(texts)

    def _end(self) -> None:
        self._flush()
        self._on_end(self._reason)
