"""The only way to an endpoint: each request asks for permission here.

Every answer is looked at here, too, since an endpoint announces in any of them
that it leaves, that it wants no requests for a while, or how many it takes.
"""

from collections.abc import Callable
import dataclasses
import logging

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import permits
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context

_LOG = logging.getLogger("sassafrasstile.forwarding")
_DENIALS = frozenset(
    (
        errors.Code.LEAVING,
        errors.Code.ENDPOINT_BACKOFF,
        errors.Code.ENDPOINT_RATE,
        errors.Code.KEY_WITHDRAWN,
        errors.Code.KEYS_UNCONFIRMED,
    )
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentRequest:
    """A request that was sent to an endpoint.

    Attributes:
        endpoint: The endpoint.
        reply: The reply.
        sent_at: When it was sent, in seconds.
    """

    endpoint: dispatch.Endpoint
    reply: web.Reply
    sent_at: float


class SendDeniedError(web.ExchangeError):
    """Nothing was sent, since it isn't permitted now."""

    def __init__(self, *, code: errors.Code, endpoint: dispatch.Endpoint):
        super().__init__(
            code=code,
            detail=f"a send to endpoint {endpoint.name} isn't permitted",
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
    has_permit: bool = False,
    fresh: bool = False,
    on_permit: Callable[[], None] = lambda: None,
    on_send: Callable[[], None] = lambda: None,
) -> SentRequest:
    """Sends a request to an endpoint if that is permitted.

    Args:
        context: State shared by the parts of the router.
        endpoint: The endpoint.
        outgoing: The request.
        is_release: True if it only frees memory at the endpoint.
        has_permit: True if a permit was taken for it.
        fresh: True to open a new connection instead of reusing an idle one.
        on_permit: Called before a connection is looked for.
        on_send: Called just before the first byte is written.

    Returns:
        The request; the head of its answer is read with `read_head`.

    Raises:
        SendDeniedError: The endpoint wants no requests now, or the key that
            the request shows isn't valid any more.
        web.ExchangeError: No connection could be made; nothing was sent.
    """

    def check() -> None:
        if outgoing.access is not None:
            denial = context.access.find_denial(outgoing.access)
            if denial is not None:
                deny(denial)
        restrictions = endpoint.restrictions
        find = restrictions.find_denial
        if is_release:
            find = restrictions.find_release_denial
        denial = find(context.now(), has_permit=has_permit)
        if denial is not None:
            deny(denial)

    def deny(code: errors.Code) -> None:
        context.metrics.sends_denied.labels(code).inc()
        raise SendDeniedError(code=code, endpoint=endpoint)

    def check_and_record() -> None:
        # A notice may have come while the connection was being opened.
        check()
        if not has_permit and needs_permit(context, endpoint):
            deny(errors.Code.ENDPOINT_RATE)
        on_send()

    check()
    if not has_permit and needs_permit(context, endpoint):
        has_permit = await take_permit(context, endpoint)
        check()
    on_permit()
    reply = await context.get_pool(endpoint).send(
        method=outgoing.method,
        target=outgoing.target,
        headers=outgoing.headers,
        body=outgoing.body,
        request_id=outgoing.request_id,
        is_answer=lambda head: _is_answer(context, endpoint, outgoing, head),
        fresh=fresh,
        on_send=check_and_record,
    )
    return SentRequest(endpoint=endpoint, reply=reply, sent_at=context.now())


def _is_answer(
    context: _context.ForwardingContext,
    endpoint: dispatch.Endpoint,
    outgoing: _base.OutgoingRequest,
    head: web.ResponseHead,
) -> bool:
    """Returns whether a head is that of a request's answer."""
    if context.codec.answers(head, request_id=outgoing.request_id):
        return True
    context.metrics.foreign_answers.inc()
    _LOG.info(
        "answer: endpoint %s wrote status %d, which isn't for request %s.",
        endpoint.name,
        head.status,
        outgoing.request_id or "without an id",
        extra={"endpoint": endpoint.name, "request": outgoing.request_id},
    )
    return False


def needs_permit(
    context: _context.ForwardingContext, endpoint: dispatch.Endpoint
) -> bool:
    """Returns whether each request to an endpoint needs a permit."""
    key = permits.make_key(endpoint.record)
    return context.permits.get_rate(key) is not None


async def take_permit(
    context: _context.ForwardingContext, endpoint: dispatch.Endpoint
) -> bool:
    """Takes a permit, or notes when it is worth asking again.

    Returns:
        True if there was one.
    """
    decision = await context.permits.take(permits.make_key(endpoint.record))
    if not decision.is_granted:
        endpoint.restrictions.permit_wait_until = (
            context.now() + decision.wait_s
        )
    return decision.is_granted


async def read_head(
    context: _context.ForwardingContext,
    sent: SentRequest,
    *,
    request_id: str = "",
) -> web.ResponseHead:
    """Reads the head of an answer and applies what it says to later sends.

    Args:
        context: State shared by the parts of the router.
        sent: The request.
        request_id: The id of the request, empty if it has none.

    Raises:
        web.ExchangeError: There is no valid answer.
    """
    endpoint = sent.endpoint
    head = await sent.reply.read_head()
    notice = context.codec.decode_notice(
        head, endpoint_id=endpoint.name, request_id=request_id
    )
    change = endpoint.restrictions.apply(
        notice, now=context.now(), spread=context.generator.random()
    )
    _record(context, endpoint, notice, change, request_id)
    _record_rate(context, sent, notice)
    return head


def _record_rate(
    context: _context.ForwardingContext,
    sent: SentRequest,
    notice: dispatch.EndpointNotice,
) -> None:
    if notice.rate_per_s is None and not notice.ends_rate:
        return
    stated = permits.StatedRate(
        rate_per_s=notice.rate_per_s,
        sent_at=sent.sent_at,
        seen_at=context.now(),
    )
    context.permits.record(permits.make_key(sent.endpoint.record), stated)


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
    if change.is_first_unreadable_rate:
        _LOG.warning(
            "notice: endpoint %s names an unreadable rate: %s.",
            endpoint.name,
            notice.unreadable_rate,
            extra=fields,
        )
