"""Calls of the router's own to endpoints: orders, probes, releases."""

import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import web
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context

_LOG = logging.getLogger("sassafrasstile.forwarding")
_ORDER_TIMEOUT_S = 1.0
_ACCEPTED = (200, 202)


def call_endpoint(
    context: _context.ForwardingContext,
    endpoint: dispatch.Endpoint,
    outgoing: _base.OutgoingRequest,
    *,
    timeout_s: float,
    fresh: bool = False,
) -> defer.Deferred:
    """Sends a request and reads the whole answer.

    Args:
        context: What the router shares.
        endpoint: The endpoint.
        outgoing: The request.
        timeout_s: Seconds until the answer must be there.
        fresh: True when a kept connection won't do.

    Returns:
        A Deferred with the HTTP status. It fails with `web.ExchangeError`
        or `defer.TimeoutError`.
    """

    async def exchange() -> int:
        reply: web.Reply | None = None
        try:
            reply = await context.get_pool(endpoint).send(
                method=outgoing.method,
                target=outgoing.target,
                headers=outgoing.headers,
                body=outgoing.body,
                fresh=fresh,
            )
            head = await reply.read_head()
            await reply.read_body()
        finally:
            if reply is not None:
                reply.close()
        return head.status

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

    Returns:
        A Deferred that says whether the engine has accepted the order. An
        order without an answer may be carried out all the same.
    """
    outgoing = context.codec.encode_order(
        record=endpoint.record,
        role=role,
        holder=holder,
        fencing_token=fencing_token,
    )

    def note(reason) -> bool:
        _LOG.info(
            "order: engine %s: no answer: %s.",
            endpoint.name,
            reason.getErrorMessage(),
        )
        return False

    calling = call_endpoint(
        context, endpoint, outgoing, timeout_s=_ORDER_TIMEOUT_S
    )
    return calling.addCallbacks(lambda status: status in _ACCEPTED, note)
