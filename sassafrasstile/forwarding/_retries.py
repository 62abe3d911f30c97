"""Decides whether a request is sent once more."""

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

# Sends of one request at the most, refused ones included.
MAX_SENDS = 3
# Nothing is sent that has less time left than this.
MIN_REMAINING_S = 0.02
# With these codes nothing reached an endpoint, so another send is no retry.
_NOTHING_ARRIVED = frozenset(
    (errors.Code.ENDPOINT_UNREACHABLE, errors.Code.LEAVING)
)


def is_last_send(task: _task.RequestTask) -> bool:
    """Says whether a send that doesn't end well can't be followed by another.

    To be asked before the send is noted. Giving up on the last one early
    would only turn a late answer into none.
    """
    if not task.route.idempotent:
        return True
    return task.count_run_endpoints() + 1 >= task.route.max_attempts


def may_run_elsewhere(task: _task.RequestTask) -> bool:
    """Says whether its route lets one more endpoint run a request."""
    is_left = task.count_run_endpoints() < task.route.max_attempts
    return task.route.idempotent and is_left


def may_send_again(
    context: _context.ForwardingContext,
    task: _task.RequestTask,
    verdict: verdicts.Verdict,
) -> bool:
    """Says whether another send is allowed, and takes it from the budget.

    A verdict of not run allows it always. Otherwise the request has to be
    idempotent, and its route has to allow one more endpoint.

    Args:
        context: What the router shares.
        task: The request.
        verdict: The verdict on the last send.
    """
    now = context.now()
    if task.deadline - now < MIN_REMAINING_S:
        return False
    if task.sends >= MAX_SENDS or task.prefill_attempts >= MAX_SENDS:
        return False
    if isinstance(verdict, verdicts.NotRun):
        if verdict.code in _NOTHING_ARRIVED:
            return True
    elif not may_run_elsewhere(task):
        return False
    allowed = context.get_budget(task.service.name).spend(now)
    if not allowed:
        context.metrics.retries_denied.inc()
    return allowed


def may_prefill_again(
    context: _context.ForwardingContext, task: _task.RequestTask
) -> bool:
    """Says whether a lost prefill may be repeated; spends the budget.

    Args:
        context: What the router shares.
        task: The request.
    """
    if task.prefill_attempts >= MAX_SENDS:
        return False
    allowed = context.get_budget(task.service.name).spend(context.now())
    if not allowed:
        context.metrics.retries_denied.inc()
    return allowed
