"""The only way to an endpoint: each request asks for permission here.

Every answer is looked at here, too, since an endpoint announces in any of them
that it leaves or that it wants no requests for a while.
"""

from collections.abc import Callable
import logging

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context

_LOG = logging.getLogger("sassafrasstile.forwarding")
_DENIALS = frozenset((errors.Code.LEAVING, errors.Code.ENDPOINT_BACKOFF))


class SendDeniedError(web.ExchangeError):
    """Nothing was sent, since the endpoint wants no requests now."""

    def __init__(self, *, code: errors.Code, endpoint: dispatch.Endpoint):
        super().__init__(
            code=code,
            detail=f"endpoint {endpoint.name} wants no requests",
            was_sent=False,
        )


def is_denial(verdict: verdicts.Verdict) -> bool:
    """Returns whether a verdict says that a send was not permitted."""
    return isinstance(verdict, verdicts.NotRun) and verdict.code in _DENIALS


async def send(
    context: _context.ForwardingContext,
    endpoint: dispatch.Endpoint,
    outgoing: _base.OutgoingRequest,
    *,
    is_release: bool = False,
    fresh: bool = False,
    on_send: Callable[[], None] = lambda: None,
) -> web.Reply:
    """Sends a request to an endpoint if that is permitted.

    Args:
        context: State shared by the parts of the router.
        endpoint: The endpoint.
        outgoing: The request.
        is_release: True if it only frees memory at the endpoint.
        fresh: True to open a new connection instead of reusing an idle one.
        on_send: Called just before the first byte is written.

    Returns:
        The reply; its head is read with `read_head`.

    Raises:
        SendDeniedError: The endpoint wants no requests now.
        web.ExchangeError: No connection could be made; nothing was sent.
    """

    def check() -> None:
        restrictions = endpoint.restrictions
        find = restrictions.find_denial
        if is_release:
            find = restrictions.find_release_denial
        denial = find(context.now())
        if denial is not None:
            context.metrics.sends_denied.labels(denial).inc()
            raise SendDeniedError(code=denial, endpoint=endpoint)

    def check_and_record() -> None:
        # A notice may have come while the connection was being opened.
        check()
        on_send()

    check()
    return await context.get_pool(endpoint).send(
        method=outgoing.method,
        target=outgoing.target,
        headers=outgoing.headers,
        body=outgoing.body,
        fresh=fresh,
        on_send=check_and_record,
    )


async def read_head(
    context: _context.ForwardingContext,
    endpoint: dispatch.Endpoint,
    reply: web.Reply,
    *,
    request_id: str = "",
) -> web.ResponseHead:
    """Reads the head of an answer and applies what it says to later sends.

    Args:
        context: State shared by the parts of the router.
        endpoint: The endpoint.
        reply: The reply.
        request_id: The id of the request, empty if it has none.

    Raises:
        web.ExchangeError: There is no valid answer.
    """
    head = await reply.read_head()
    notice = context.codec.decode_notice(
        head, endpoint_id=endpoint.name, request_id=request_id
    )
    change = endpoint.restrictions.apply(
        notice, now=context.now(), spread=context.generator.random()
    )
    _record(context, endpoint, notice, change, request_id)
    return head


def _record(
    context: _context.ForwardingContext,
    endpoint: dispatch.Endpoint,
    notice: dispatch.EndpointNotice,
    change: dispatch.RestrictionChange,
    request_id: str,
) -> None:
    """Logs and counts what an answer has changed."""
    fields = {"endpoint": endpoint.name, "request": request_id}
    if change.begins_leaving:
        context.metrics.drain_notices.inc()
        _LOG.info(
            "notice: endpoint %s is leaving.", endpoint.name, extra=fields
        )
    if change.backoff_s is not None:
        context.metrics.backoffs_asked.inc()
        _LOG.info(
            "notice: endpoint %s asks for a back-off of %.3f s.",
            endpoint.name,
            notice.backoff_s,
            extra={
                **fields,
                "asked_s": notice.backoff_s,
                "backoff_s": round(change.backoff_s, 3),
            },
        )
    if change.is_first_unreadable:
        _LOG.warning(
            "notice: endpoint %s asks for an unreadable back-off: %s.",
            endpoint.name,
            notice.unreadable_backoff,
            extra=fields,
        )
