"""Decides whether a request may be retried."""

import enum
import logging

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _access
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# The verdict on an attempt whose endpoint is silent.
SILENT_VERDICT = verdicts.MayHaveRun(code=errors.Code.ENDPOINT_SILENT)
# Maximum number of sends of a request, including refused ones.
MAX_SENDS = 3
# Maximum number of engines that are asked to set memory aside for a request.
_MAX_HOLD_ATTEMPTS = 6
# A request closer to its deadline than this isn't sent again.
MIN_REMAINING_S = 0.02
# With these codes no endpoint received the request, so that another send
# doesn't count against the retry budget.
_NOT_DELIVERED_CODES = frozenset(
    (
        errors.Code.ENDPOINT_UNREACHABLE,
        errors.Code.ENDPOINT_FULL,
        errors.Code.LEAVING,
        errors.Code.ENDPOINT_BACKOFF,
        errors.Code.ENDPOINT_RATE,
        errors.Code.KEY_WITHDRAWN,
        errors.Code.KEYS_UNCONFIRMED,
    )
)


class Obstacle(enum.Enum):
    """A reason why a request isn't sent again."""

    DEADLINE = "its deadline is too close"
    SENDS = "it was sent as often as allowed"
    PREFILLS = "its prompt was prefilled as often as allowed"
    HANDLE = "its prefill has expired and may not be repeated"
    HOLDS = "engines were asked for memory as often as allowed"
    MAY_HAVE_RUN = "it may have run, and no other endpoint may run it"
    BUDGET = "the retry budget is spent"
    ACCESS = "it may not run with its key now"
    CONTENT = "endpoints were lost under requests like it"
    STOPPING = "this gateway ends before it could be answered"


def is_last_send(task: _task.RequestTask) -> bool:
    """Returns whether the next send would be the last one allowed.

    Call this before the send is recorded. The last send waits until the
    deadline: with a shorter timeout, a late answer would be lost.
    """
    if not task.route.idempotent or task.sends + 1 >= MAX_SENDS:
        return True
    return task.count_run_endpoints() + 1 >= task.route.max_attempts


def may_run_elsewhere(task: _task.RequestTask) -> bool:
    """Returns whether another endpoint may run a request or go on with it."""
    has_endpoint_left = task.count_run_endpoints() < task.route.max_attempts
    return task.route.idempotent and task.may_go_on and has_endpoint_left


def counts_against_budget(verdict: verdicts.Verdict) -> bool:
    """Returns whether an endpoint may have received the request.

    It counts also if the endpoint refused it.

    Args:
        verdict: The verdict on a send or a prefill.
    """
    is_proved = isinstance(verdict, verdicts.NotRun)
    return not (is_proved and verdict.code in _NOT_DELIVERED_CODES)


def find_obstacle(
    context: _context.ForwardingContext,
    task: _task.RequestTask,
    verdict: verdicts.Verdict,
    *,
    retries: int = 1,
) -> Obstacle | None:
    """Returns what stands against another send, or None if it is allowed.

    Unless the verdict is that nothing ran, the request has to be idempotent
    and its route has to allow another endpoint. The budget isn't needed if the
    verdict's code shows that no endpoint received the request.

    Args:
        context: State shared by the parts of the router.
        task: The request.
        verdict: The verdict on the last send.
        retries: The number of retries that the budget must still allow.
    """
    if _access.renew(context, task) is not None:
        return Obstacle.ACCESS
    now = context.now()
    if task.deadline - now < MIN_REMAINING_S:
        return Obstacle.DEADLINE
    if task.sends >= MAX_SENDS:
        return Obstacle.SENDS
    if task.prefill_attempts >= MAX_SENDS:
        return Obstacle.PREFILLS
    if task.hold_attempts >= _MAX_HOLD_ATTEMPTS:
        return Obstacle.HOLDS
    if verdict.code == errors.Code.HANDLE_EXPIRED:
        return Obstacle.HANDLE
    if context.quarantine.find(task.content) is not None:
        return Obstacle.CONTENT
    if context.shutdown.find_denial(task, now) is not None:
        return Obstacle.STOPPING
    is_proved = isinstance(verdict, verdicts.NotRun)
    if not is_proved and not may_run_elsewhere(task):
        return Obstacle.MAY_HAVE_RUN
    budget = context.get_budget(task.service.name)
    if counts_against_budget(verdict) and not budget.can_spend(now, retries):
        return Obstacle.BUDGET
    return None


def may_send_again(
    context: _context.ForwardingContext,
    task: _task.RequestTask,
    verdict: verdicts.Verdict,
) -> bool:
    """Returns whether another send is allowed, and spends the retry budget.

    Args:
        context: State shared by the parts of the router.
        task: The request.
        verdict: The verdict on the last send.
    """
    obstacle = find_obstacle(context, task, verdict)
    if obstacle is None:
        if counts_against_budget(verdict):
            context.get_budget(task.service.name).spend(context.now())
        return True
    if obstacle is Obstacle.BUDGET:
        context.metrics.retries_denied.inc()
    _LOG.info(
        "retry: request %s isn't sent again. Reason: %s.",
        task.request_id,
        obstacle.value,
        extra={
            "request": task.request_id,
            "workspace": task.workspace_name,
            "verdict": verdicts.name_verdict(verdict),
            "code": verdict.code,
            "sends": task.sends,
            "outcome": obstacle.name.lower(),
        },
    )
    return False


def may_prefill_again(
    context: _context.ForwardingContext, task: _task.RequestTask
) -> bool:
    """Returns whether a lost prefill may be repeated; spends the budget.

    Args:
        context: State shared by the parts of the router.
        task: The request.
    """
    if task.prefill_attempts >= MAX_SENDS:
        return False
    allowed = context.get_budget(task.service.name).spend(context.now())
    if not allowed:
        context.metrics.retries_denied.inc()
    return allowed
