"""Encodes what waits at a gateway as rows of a load report."""

from sassafrasstile.peers import _base

_MS_PER_S = 1000
# Further rows are ignored: a report has to fit into a datagram.
_MAX_ROWS = _base.MAX_REPORTED_RANKS


def encode_queue(queue: _base.QueueReport) -> list:
    """Returns a queue's rows.

    >>> queue = _base.QueueReport(
    ...     waiting=(
    ...         _base.WaitingGeneration(
    ...             service="s",
    ...             urgency=2,
    ...             priority=1,
    ...             is_crowding=False,
    ...             remaining_s=0.5,
    ...         ),
    ...     ),
    ...     admissions=(
    ...         _base.RankAdmissions(priority=1, generations=3, tokens=900),
    ...     ),
    ...     rates=(_base.WorkspaceRate(workspace="w", tokens_per_s=70.0),),
    ... )
    >>> decode_queue(encode_queue(queue)) == queue
    True
    """
    waiting = [
        [
            item.service,
            item.urgency,
            item.priority,
            int(item.is_crowding),
            round(item.remaining_s * _MS_PER_S),
        ]
        for item in queue.waiting
    ]
    admissions = [
        [item.priority, item.generations, item.tokens]
        for item in queue.admissions
    ]
    rates = [[item.workspace, round(item.tokens_per_s)] for item in queue.rates]
    return [waiting, admissions, rates]


def decode_queue(rows: list) -> _base.QueueReport:
    """Decodes a queue's rows.

    Raises:
        TypeError: They are malformed.
        ValueError: They are malformed.
    """
    waiting, admissions, rates = rows
    return _base.QueueReport(
        waiting=tuple(
            _base.WaitingGeneration(
                service=str(service),
                urgency=int(urgency),
                priority=int(priority),
                is_crowding=bool(crowding),
                remaining_s=int(remaining_ms) / _MS_PER_S,
            )
            for service, urgency, priority, crowding, remaining_ms in waiting[
                :_MAX_ROWS
            ]
        ),
        admissions=tuple(
            _base.RankAdmissions(
                priority=int(priority),
                generations=int(generations),
                tokens=int(tokens),
            )
            for priority, generations, tokens in admissions[:_MAX_ROWS]
        ),
        rates=tuple(
            _base.WorkspaceRate(
                workspace=str(workspace), tokens_per_s=float(tokens_per_s)
            )
            for workspace, tokens_per_s in rates[:_MAX_ROWS]
        ),
    )
