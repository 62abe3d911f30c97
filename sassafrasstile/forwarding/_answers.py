"""Final answers to callers that the router itself makes."""

import json

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _access
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_STATUS_NOT_RUN = 503
_STATUS_UNAUTHORIZED = 401
# The reasons why nothing ran that have a status of their own.
_NOT_RUN_STATUSES = {
    errors.Code.KEY_WITHDRAWN: _STATUS_UNAUTHORIZED,
    errors.Code.UNKNOWN_KEY: _STATUS_UNAUTHORIZED,
    errors.Code.QUOTA_EXCEEDED: 429,
}
_STATUS_MAY_HAVE_RUN = 502
_STATUS_TIMEOUT = 504
# Random jitter is added to Retry-After, up to this share of it, so that
# callers don't all retry at the same time.
_RETRY_JITTER_SHARE = 0.5
_DEFAULT_RETRY_AFTER_S = 0.2
_JSON = (b"Content-Type", b"application/json")


def choose_status(verdict: verdicts.Verdict) -> int:
    """Returns the HTTP status for a verdict.

    >>> choose_status(verdicts.NotRun(code="no_endpoint"))
    503
    >>> choose_status(verdicts.NotRun(code=errors.Code.QUOTA_EXCEEDED))
    429
    >>> choose_status(verdicts.MayHaveRun(code="deadline_exceeded"))
    504
    >>> choose_status(verdicts.MayHaveRun(code="endpoint_lost"))
    502
    """
    match verdict:
        case verdicts.NotRun(code=code):
            return _NOT_RUN_STATUSES.get(code, _STATUS_NOT_RUN)
        case _ if verdict.code == errors.Code.DEADLINE_EXCEEDED:
            return _STATUS_TIMEOUT
        case _:
            return _STATUS_MAY_HAVE_RUN


def _name_timeout(
    verdict: verdicts.Verdict, *, is_late: bool
) -> verdicts.Verdict:
    """Returns the verdict, with the deadline as its reason if it has passed.

    The timeout of the last attempt and that of the request are due at the same
    time, and either may fire first.
    """
    match verdict:
        case verdicts.MayHaveRun() if is_late:
            return verdicts.MayHaveRun(code=errors.Code.DEADLINE_EXCEEDED)
        case _:
            return verdict


def fail_task(
    context: _context.ForwardingContext,
    task: _task.RequestTask,
    verdict: verdicts.Verdict,
) -> None:
    """Answers a caller with a verdict when no endpoint's answer can be sent.

    If part of an answer was sent already, closes the connection instead.
    """
    verdict = _name_timeout(verdict, is_late=context.now() >= task.deadline)
    name = verdicts.name_verdict(verdict)
    task.outcome = f"{name} {verdict.code}"
    if task.exchange.has_begun:
        task.outcome += " cut"
        task.exchange.abort()
        return
    if isinstance(verdict, verdicts.NotRun) and task.access.hides_credentials:
        _access.record_refusal(
            context,
            verdict.code,
            workspace=task.workspace_name,
            request_id=task.request_id,
        )
    headers = [_JSON]
    match verdict:
        case verdicts.NotRun(retry_after_s=retry_after_s) if (
            choose_status(verdict) != _STATUS_UNAUTHORIZED
        ):
            base_s = retry_after_s or _DEFAULT_RETRY_AFTER_S
            jitter_s = base_s * _RETRY_JITTER_SHARE * context.generator.random()
            headers.extend(context.codec.encode_retry_after(base_s + jitter_s))
    body = json.dumps({"code": verdict.code, "verdict": name})
    task.exchange.respond(
        status=choose_status(verdict), headers=headers, body=body.encode()
    )


def send_refusal(
    exchange: web.IngressRequest,
    *,
    status: int,
    code: errors.Code,
    headers: web.Headers = (),
) -> None:
    """Answers a caller whose request is refused before it is forwarded."""
    exchange.respond(
        status=status,
        headers=[_JSON, *headers],
        body=json.dumps({"code": code}).encode(),
    )
