"""Validates the bodies of generation requests."""

import dataclasses
import json
from typing import Annotated, Literal

import annotated_types
import pydantic

from sassafrasstile import errors
from sassafrasstile import settings

_CHARS_PER_TOKEN = 4
_Tokens = Annotated[int, annotated_types.Gt(0)]


class _CommonFields(pydantic.BaseModel):
    """The fields that both kinds of body share.

    Other fields, such as sampling parameters, are accepted.
    """

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str
    stream: bool = False
    n: Literal[1] | None = None
    max_tokens: _Tokens | None = None
    max_completion_tokens: _Tokens | None = None


class _CompletionBody(_CommonFields):
    prompt: str | Annotated[list[str], annotated_types.Len(1, 1)]


class _ContentPart(pydantic.BaseModel):
    type: Literal["text"]
    text: str


class _ChatMessage(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")

    role: str
    content: str | list[_ContentPart]


class _ChatBody(_CommonFields):
    messages: Annotated[list[_ChatMessage], annotated_types.MinLen(1)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GenerationBody:
    """A validated request body.

    Attributes:
        model: The model's name.
        prompt: The prompt's text.
        prompt_tokens: The prompt's estimated length in tokens.
        max_tokens: The maximum number of output tokens.
        stream: True if the answer is streamed as server-sent events.
    """

    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool


def estimate_tokens(text: str) -> int:
    """Returns an estimate of a text's length in tokens.

    >>> estimate_tokens("eight chars, or so")
    4
    """
    return max(1, len(text) // _CHARS_PER_TOKEN)


def parse_body(
    content: bytes,
    *,
    is_chat: bool,
    models: dict[str, settings.ModelSettings],
) -> GenerationBody:
    """Parses and validates a body.

    Args:
        content: The body as received.
        is_chat: True for a chat completion.
        models: The configured models.

    Returns:
        The validated body.

    Raises:
        errors.RequestError: If the body isn't valid.
    """
    try:
        values = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise errors.RequestError(
            code=errors.Code.REQUEST_MALFORMED,
            detail=f"The body isn't JSON: {error}",
        ) from error
    body_class = _ChatBody if is_chat else _CompletionBody
    try:
        body = body_class.model_validate(values)
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        location = ".".join(str(part) for part in problem["loc"]) or "body"
        raise errors.RequestError(
            code=errors.Code.REQUEST_INVALID,
            detail=f"{location}: {problem['msg']}",
        ) from error
    return _apply_model_limits(body, _extract_prompt(body), models)


def _extract_prompt(body: _CompletionBody | _ChatBody) -> str:
    match body:
        case _CompletionBody(prompt=str() as prompt):
            return prompt
        case _CompletionBody(prompt=[prompt]):
            return prompt
        case _:
            return "\n".join(_format_message(item) for item in body.messages)


def _format_message(message: _ChatMessage) -> str:
    content = message.content
    if not isinstance(content, str):
        content = "".join(part.text for part in content)
    return f"{message.role}: {content}"


def _apply_model_limits(
    body: _CommonFields, prompt: str, models: dict[str, settings.ModelSettings]
) -> GenerationBody:
    model = models.get(body.model)
    if model is None:
        raise errors.RequestError(
            code=errors.Code.UNKNOWN_MODEL,
            detail=f"model is {body.model!r}; allowed are {sorted(models)}",
            status=404,
        )
    prompt_tokens = estimate_tokens(prompt)
    if prompt_tokens > model.max_prompt_tokens:
        raise errors.RequestError(
            code=errors.Code.REQUEST_TOO_LARGE,
            detail=(
                f"The prompt has about {prompt_tokens} tokens; allowed are "
                f"{model.max_prompt_tokens}"
            ),
            status=413,
        )
    requested = body.max_completion_tokens or body.max_tokens
    return GenerationBody(
        model=body.model,
        prompt=prompt,
        prompt_tokens=prompt_tokens,
        max_tokens=min(requested or model.default_tokens, model.max_tokens),
        stream=body.stream,
    )
