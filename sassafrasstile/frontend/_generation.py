"""Handles `/v1/completions` and `/v1/chat/completions`."""

import json
import time

from twisted.web import resource
from twisted.web import server

from sassafrasstile import errors
from sassafrasstile import gateway
from sassafrasstile import settings
from sassafrasstile.frontend import _answers
from sassafrasstile.frontend import _base
from sassafrasstile.frontend import _bodies
from sassafrasstile.frontend import _directory
from sassafrasstile.frontend import _identity


class GenerationResource(resource.Resource):
    """Handles generation requests.

    Args:
        router: The gateway daemon.
        directory: Finds workspaces.
        models: The configured models.
        is_chat: True for chat completions.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        router: _base.Router,
        directory: _directory.CallerDirectory,
        models: dict[str, settings.ModelSettings],
        is_chat: bool,
    ):
        super().__init__()
        self._router = router
        self._directory = directory
        self._models = models
        self._is_chat = is_chat

    def render_POST(self, request):  # noqa: N802
        """Handles one request."""
        request_id = _identity.read_request_id(request)
        try:
            self._submit(request, request_id)
        except errors.RequestError as error:
            _answers.write_request_error(
                request, request_id=request_id, error=error
            )
        return server.NOT_DONE_YET

    def _submit(self, request, request_id: str) -> None:
        workspace = _identity.find_workspace(request, self._directory)
        body = _bodies.parse_body(
            request.content.read(),
            is_chat=self._is_chat,
            models=self._models,
        )
        kernel_id = f"{workspace}/{request_id}"
        resume_offset = _identity.read_resume_offset(request)
        if resume_offset and not body.stream:
            # The answer comes as a whole, whatever a former one has brought.
            resume_offset = 0
        generation = gateway.GenerationRequest(
            request_id=kernel_id,
            workspace=workspace,
            model=body.model,
            prompt=body.prompt,
            prompt_tokens=body.prompt_tokens,
            max_tokens=body.max_tokens,
            deferred=self._directory.is_deferred(workspace),
            resume_offset=resume_offset,
        )
        serializer_class = (
            _ChatSerializer if self._is_chat else _CompletionSerializer
        )
        exchange_class = _StreamExchange if body.stream else _BufferedExchange
        exchange = exchange_class(
            request=request,
            router=self._router,
            kernel_id=kernel_id,
            request_id=request_id,
            serializer=serializer_class(
                model=body.model, request_id=request_id
            ),
            prompt_tokens=body.prompt_tokens,
        )
        try:
            self._router.submit(generation, exchange)
        except errors.RequestError:
            exchange.is_open = False
            raise


class _CompletionSerializer:
    """Creates the JSON documents of `/v1/completions`."""

    prefix = "cmpl-"
    response_object = "text_completion"
    chunk_object = "text_completion"

    def __init__(self, *, model: str, request_id: str):
        self.model = model
        self.request_id = request_id
        self.created = int(time.time())

    def make_chunk(self, text: str, *, is_first: bool) -> dict:
        """Returns a chunk of a streamed answer."""
        return self._wrap(self.chunk_object, self._make_text_choice(text, None))

    def make_last_chunk(self, reason: str) -> dict:
        """Returns the last chunk of a streamed answer."""
        return self._wrap(self.chunk_object, self._make_text_choice("", reason))

    def make_response(self, text: str, reason: str) -> dict:
        """Returns an answer that isn't streamed."""
        return self._wrap(
            self.response_object, self._make_text_choice(text, reason)
        )

    def _make_text_choice(self, text: str, reason: str | None) -> dict:
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": reason,
        }

    def _wrap(self, object_name: str, choice: dict) -> dict:
        return {
            "id": self.prefix + self.request_id,
            "object": object_name,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }


class _ChatSerializer(_CompletionSerializer):
    """Creates the JSON documents of `/v1/chat/completions`."""

    prefix = "chatcmpl-"
    response_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def make_chunk(self, text: str, *, is_first: bool) -> dict:
        """Returns a chunk of a streamed answer."""
        delta = {"content": text}
        if is_first:
            delta["role"] = "assistant"
        return self._wrap(
            self.chunk_object, self._make_delta_choice(delta, None)
        )

    def make_last_chunk(self, reason: str) -> dict:
        """Returns the last chunk of a streamed answer."""
        return self._wrap(
            self.chunk_object, self._make_delta_choice({}, reason)
        )

    def make_response(self, text: str, reason: str) -> dict:
        """Returns an answer that isn't streamed."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "logprobs": None,
            "finish_reason": reason,
        }
        return self._wrap(self.response_object, choice)

    def _make_delta_choice(self, delta: dict, reason: str | None) -> dict:
        return {
            "index": 0,
            "delta": delta,
            "logprobs": None,
            "finish_reason": reason,
        }


class _GenerationExchange(_answers.HttpExchange):
    """The base class of streamed and buffered answers.

    Args:
        serializer: Creates the JSON documents.
        prompt_tokens: The prompt's length, for the usage figures.
        **parameters: As for `HttpExchange`.
    """

    def __init__(
        self,
        *,
        serializer: _CompletionSerializer,
        prompt_tokens: int,
        **parameters,
    ):
        super().__init__(**parameters)
        self.serializer = serializer
        self.prompt_tokens = prompt_tokens

    def handle(self, effect: gateway.Effect) -> None:
        """Writes an effect of the kernel to the caller."""
        match effect:
            case gateway.Deliver():
                self.deliver(effect)
            case gateway.Complete():
                self.complete(effect)
            case gateway.Refuse():
                self.refuse(effect)

    def make_usage(self, tokens: int) -> dict:
        """Returns the token counts of an answer."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        }


class _BufferedExchange(_GenerationExchange):
    """Sends the answer as one JSON document once it is complete."""

    def __init__(self, **parameters):
        super().__init__(**parameters)
        self._texts: list[str] = []

    def deliver(self, effect: gateway.Deliver) -> None:
        self._texts.extend(effect.texts)

    def complete(self, effect: gateway.Complete) -> None:
        body = self.serializer.make_response(
            "".join(self._texts), effect.reason
        )
        body["usage"] = self.make_usage(effect.tokens)
        _answers.set_common_headers(self.request, self.request_id)
        self.request.setHeader(b"content-type", b"application/json")
        self.request.write(json.dumps(body).encode())
        self.finish()


class _StreamExchange(_GenerationExchange):
    """Streams the answer as server-sent events.

    The id of each event is the number of tokens sent so far. A caller whose
    connection was lost sends the last id as Last-Event-ID to get the rest.
    """

    def __init__(self, **parameters):
        super().__init__(**parameters)
        self._has_started = False

    def _write(self, body: dict, *, event_id: int | None = None) -> None:
        if not self._has_started:
            self._has_started = True
            _answers.set_common_headers(self.request, self.request_id)
            self.request.setHeader(b"content-type", b"text/event-stream")
            self.request.setHeader(b"cache-control", b"no-store")
        event = f"data: {json.dumps(body)}\n\n"
        if event_id is not None:
            event = f"id: {event_id}\n{event}"
        self.request.write(event.encode())

    def deliver(self, effect: gateway.Deliver) -> None:
        chunk = self.serializer.make_chunk(
            "".join(effect.texts), is_first=effect.offset == 0
        )
        self._write(chunk, event_id=effect.offset + len(effect.texts))

    def complete(self, effect: gateway.Complete) -> None:
        chunk = self.serializer.make_last_chunk(effect.reason)
        chunk["usage"] = self.make_usage(effect.tokens)
        self._write(chunk)
        self.request.write(b"data: [DONE]\n\n")
        self.finish()

    def refuse(self, effect: gateway.Refuse) -> None:
        """Answers with a refusal, or breaks a started stream off.

        The error comes as its last event.
        """
        if not self._has_started:
            super().refuse(effect)
            return
        self._write(
            _answers.make_error_body(
                request_id=self.request_id,
                verdict=effect.verdict,
                detail=effect.detail,
            )
        )
        self.break_off()
