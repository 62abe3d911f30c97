"""The router's own calls to endpoints: orders, probes and releases."""

import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import web
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _sends

_LOG = logging.getLogger("sassafrasstile.forwarding")
_ORDER_TIMEOUT_S = 1.0
_ACCEPTED_STATUSES = (200, 202)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlAnswer:
    """An endpoint's complete answer to a call of the router's own.

    Attributes:
        head: Status and headers.
        body: The body.
    """

    head: web.ResponseHead
    body: bytes


def call_endpoint(
    context: _context.ForwardingContext,
    endpoint: dispatch.Endpoint,
    outgoing: _base.OutgoingRequest,
    *,
    timeout_s: float,
    is_release: bool = False,
    fresh: bool = False,
) -> defer.Deferred:
    """Sends a request and reads the complete answer.

    Args:
        context: State shared by the parts of the router.
        endpoint: The endpoint.
        outgoing: The request.
        timeout_s: Seconds to wait for the complete answer.
        is_release: True if it only frees memory at the endpoint.
        fresh: True to open a new connection instead of reusing an idle one.

    Returns:
        A Deferred with a `ControlAnswer`. It fails with `web.ExchangeError`
        or `defer.TimeoutError`; with `SendDeniedError` if the endpoint wants
        no requests.
    """

    async def exchange() -> ControlAnswer:
        reply: web.Reply | None = None
        try:
            sent = await _sends.send(
                context,
                endpoint,
                outgoing,
                is_release=is_release,
                fresh=fresh,
            )
            reply = sent.reply
            head = await _sends.read_head(context, sent)
            body = await reply.read_body(web.ReadKind.CONTROL)
        except web.BoundExceededError:
            endpoint.health.record_failure(context.now())
            raise
        finally:
            if reply is not None:
                reply.close()
        return ControlAnswer(head=head, body=body)

    return _attempts.fail_on_timeout(exchange(), context.reactor, timeout_s)


def send_order(
    context: _context.ForwardingContext,
    *,
    endpoint: dispatch.Endpoint,
    role: membership.Role,
    holder: str,
    fencing_token: int,
) -> defer.Deferred:
    """Orders an engine to change its role.

    Args:
        context: State shared by the parts of the router.
        endpoint: The engine.
        role: The new role.
        holder: The name of the gateway that sends the order.
        fencing_token: The fencing token of that gateway's lease.

    Returns:
        A Deferred with True when the engine has accepted the order. With
        False, the engine may still carry it out: the answer may be lost.
    """
    outgoing = context.codec.encode_order(
        record=endpoint.record,
        role=role,
        holder=holder,
        fencing_token=fencing_token,
    )

    def log_failure(reason) -> bool:
        _LOG.info(
            "order: engine %s: no answer: %s.",
            endpoint.name,
            reason.getErrorMessage(),
        )
        return False

    call = call_endpoint(
        context, endpoint, outgoing, timeout_s=_ORDER_TIMEOUT_S
    )
    return call.addCallbacks(
        lambda answer: answer.head.status in _ACCEPTED_STATUSES, log_failure
    )
