"""Reads who asks, and under which id."""

import re
import uuid

from sassafrasstile import errors
from sassafrasstile.frontend import _directory

_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_BEARER = "Bearer "


def read_header(request, name: str) -> str:
    """Returns a header's value, or an empty string."""
    return request.getHeader(name) or ""


def read_request_id(request) -> str:
    """Returns the caller's id for a request, or a new one.

    A caller that sends an Idempotency-Key, or comes back with the
    X-Request-Id that it was told, names the same request again.
    """
    for name in ("idempotency-key", "x-request-id"):
        value = read_header(request, name)
        if _ID.fullmatch(value):
            return value
    return "req-" + uuid.uuid4().hex


def read_key(request) -> str:
    """Returns the caller's idempotency key, or an empty string.

    Raises:
        errors.RequestError: When it has characters that aren't allowed.
    """
    value = read_header(request, "idempotency-key")
    if value and not _ID.fullmatch(value):
        raise errors.RequestError(
            code=errors.Code.REQUEST_INVALID,
            detail=(
                "Idempotency-Key allows 1 to 128 of letters, digits, "
                "'.', '_', ':' and '-'"
            ),
        )
    return value


def is_first_attempt(request) -> bool:
    """Says whether the caller declares this as its key's first attempt.

    Without a key there is nothing to repeat. With one, a caller that counts
    its retries says so in X-Retry-Count (or X-Stainless-Retry-Count).
    """
    if not read_header(request, "idempotency-key"):
        return True
    return _read_retry_count(request) == "0"


def _read_retry_count(request) -> str:
    return read_header(request, "x-retry-count") or read_header(
        request, "x-stainless-retry-count"
    )


def read_resume_offset(request) -> int | None:
    """Returns the tokens that a returning caller has, or None.

    A caller that says it retries may have an answer waiting, too.

    Raises:
        errors.RequestError: When Last-Event-ID isn't a number.
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


def find_workspace(request, directory: _directory.WorkspaceDirectory) -> str:
    """Returns the caller's workspace.

    Raises:
        errors.RequestError: With UNKNOWN_WORKSPACE.
    """
    authorization = read_header(request, "authorization")
    key = ""
    if authorization.startswith(_BEARER):
        key = authorization[len(_BEARER) :].strip()
    name = read_header(request, "x-workspace")
    return directory.find(key=key, name=name)
