"""What a request runs as, while it waits and before it is sent again.

Refusals are recorded here, too, by the workspace that they concern.
"""

import logging
import math

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# By then it may be known again which keys are valid.
UNCONFIRMED_RETRY_AFTER_S = 1.0
_KEY_CODES = frozenset(
    (
        errors.Code.UNKNOWN_KEY,
        errors.Code.KEY_WITHDRAWN,
        errors.Code.KEYS_UNCONFIRMED,
    )
)


def renew(
    context: _context.ForwardingContext, task: _task.RequestTask
) -> verdicts.NotRun | None:
    """Renews what a request runs as under the configuration in force.

    Args:
        context: State shared by the parts of the router.
        task: The request.

    Returns:
        The verdict if it may not be sent, else None.
    """
    try:
        access = context.access.review(
            task.access, key=task.details.key, is_open=task.route.is_open
        )
    except errors.RequestError as reason:
        task.denial = verdicts.NotRun(
            code=reason.code, retry_after_s=UNCONFIRMED_RETRY_AFTER_S
        )
        return task.denial
    task.denial = None
    if access is not task.access:
        _LOG.info(
            "keys: request %s runs for %s now.",
            task.request_id,
            access.workspace_name or "no workspace",
            extra={
                "request": task.request_id,
                "workspace": access.workspace_name,
                "workspace_before": task.access.workspace_name,
                "version": context.active_configuration.version,
            },
        )
        task.access = access
    return None


def record_refusal(
    context: _context.ForwardingContext,
    code: errors.Code,
    *,
    workspace: str,
    request_id: str,
) -> None:
    """Counts a refusal, and logs it if it is for the request's key.

    Call this where the configuration has workspaces.

    Args:
        context: State shared by the parts of the router.
        code: Why it was refused.
        workspace: The name of its workspace, or an empty string for none.
        request_id: Its id.
    """
    label = context.metrics.workspaces.choose(workspace)
    context.metrics.workspace_refusals.labels(label, code).inc()
    if code not in _KEY_CODES or not context.take_key_line():
        return
    age_s = context.access.measure_age_s()
    _LOG.info(
        "keys: request %s refused. Reason: %s.",
        request_id,
        code,
        extra={
            "request": request_id,
            "workspace": workspace,
            "outcome": code.value,
            "belief_age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            "version": context.active_configuration.version,
        },
    )
