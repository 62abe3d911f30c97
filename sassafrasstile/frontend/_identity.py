"""Reads the workspace, id and retry headers of a request."""

import re
import uuid

from sassafrasstile import errors
from sassafrasstile.frontend import _directory

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_BEARER_PREFIX = "Bearer "


def read_header(request, name: str) -> str:
    """Returns a header's value, or an empty string."""
    return request.getHeader(name) or ""


def read_request_id(request) -> str:
    """Returns the caller's id for a request, or a new one.

    A request with the Idempotency-Key or the X-Request-Id of an earlier
    request is a retry of it.
    """
    return _find_caller_id(request) or "req-" + uuid.uuid4().hex


def _find_caller_id(request) -> str:
    """Returns the caller's id for a request, or an empty string."""
    for name in ("idempotency-key", "x-request-id"):
        value = read_header(request, name)
        if _ID_PATTERN.fullmatch(value):
            return value
    return ""


def read_idempotency_key(request) -> str:
    """Returns the caller's idempotency key, or an empty string.

    Raises:
        errors.RequestError: If the key is too long or has other characters
            than those allowed.
    """
    value = read_header(request, "idempotency-key")
    if value and not _ID_PATTERN.fullmatch(value):
        raise errors.RequestError(
            code=errors.Code.REQUEST_INVALID,
            detail=(
                "Idempotency-Key allows 1 to 128 of letters, digits, "
                "'.', '_', ':' and '-'"
            ),
        )
    return value


def is_first_attempt(request) -> bool:
    """Returns whether the caller declares this as its key's first attempt.

    A request that carries neither an Idempotency-Key nor an X-Request-Id of
    its caller gets a key of its own and is always a first attempt. Others are
    if X-Retry-Count (or X-Stainless-Retry-Count) is 0.
    """
    if not _find_caller_id(request):
        return True
    return _read_retry_count(request) == "0"


def _read_retry_count(request) -> str:
    return read_header(request, "x-retry-count") or read_header(
        request, "x-stainless-retry-count"
    )


def read_resume_offset(request) -> int | None:
    """Returns the number of tokens that the caller already received.

    The number is None for a new request. It is 0 for a retry without
    Last-Event-ID, because there may be an earlier attempt to resume.

    Raises:
        errors.RequestError: If Last-Event-ID isn't a number.
    """
    value = read_header(request, "last-event-id")
    if not value:
        return None if _read_retry_count(request) in ("", "0") else 0
    if not value.isascii() or not value.isdigit():
        raise errors.RequestError(
            code=errors.Code.REQUEST_INVALID,
            detail=f"Last-Event-ID is {value!r}; allowed are numbers",
        )
    return int(value)


def find_workspace(request, directory: _directory.CallerDirectory) -> str:
    """Returns the caller's workspace.

    Raises:
        errors.RequestError: With UNKNOWN_WORKSPACE, if none matches.
    """
    authorization = read_header(request, "authorization")
    key = ""
    if authorization.startswith(_BEARER_PREFIX):
        key = authorization[len(_BEARER_PREFIX) :].strip()
    name = read_header(request, "x-workspace")
    return directory.find(key=key, name=name)
