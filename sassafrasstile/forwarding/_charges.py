"""Charges requests to the quotas of their workspaces."""

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task


async def charge(
    context: _context.ForwardingContext, task: _task.RequestTask
) -> verdicts.NotRun | None:
    """Charges a request once, however often it is sent.

    Args:
        context: State shared by the parts of the router.
        task: The request.

    Returns:
        The verdict if its workspace has used up its quota, else None.
    """
    workspace = task.access.workspace
    is_limited = workspace is not None and workspace.quota is not None
    if context.quotas is None or not is_limited:
        return None
    if context.quarantine.find(task.content) is not None:
        # It is refused next.
        return None
    decision = await context.quotas.charge(
        workspace.name, task.details.stated_tokens
    )
    if decision.is_granted:
        label = context.metrics.workspaces.choose(workspace.name)
        task.charge = decision.charge
        context.metrics.quota_used.labels(label).inc(decision.cost)
        return None
    return verdicts.NotRun(
        code=errors.Code.QUOTA_EXCEEDED, retry_after_s=decision.wait_s
    )


def refund(
    context: _context.ForwardingContext, task: _task.RequestTask
) -> None:
    """Gives back, once, what a request was charged that hasn't run.

    Args:
        context: State shared by the parts of the router.
        task: The request, which is answered or given up.
    """
    charged, task.charge = task.charge, None
    if charged is None or task.may_have_run:
        return
    context.quotas.refund(charged)
    label = context.metrics.workspaces.choose(charged.workspace)
    context.metrics.quota_refunded.labels(label).inc(charged.amount)
