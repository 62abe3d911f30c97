"""When a gateway's load is reported to a group of other gateways."""

from collections.abc import Mapping
import dataclasses

from sassafrasstile import limits
from sassafrasstile.peers import _base

# Changes that only release capacity may be reported this much later.
_RELEASE_DELAY_S = 0.1
# Changes in what waits for capacity are reported at most this often.
_QUEUE_INTERVAL_S = 0.05
_NO_LOAD = _base.EndpointLoad()
_NO_QUEUE = _base.QueueReport()


@dataclasses.dataclass(kw_only=True)
class ReportSchedule:
    """Decides when the gateways of a group get a report, and which loads.

    Attributes:
        bucket: The rate limit on the datagrams to the group.
        has_news: True when a report is due for a reason beside the loads.
        held_back_at: When the rate limit last held a due report back, in
            seconds.
        speeds_number: The number of the last observation of an endpoint's
            speed that the group was sent.
    """

    bucket: limits.TokenBucket
    has_news: bool = False
    held_back_at: float = float("-inf")
    speeds_number: int = 0
    _sent: Mapping[str, _base.EndpointLoad] = dataclasses.field(
        default_factory=dict
    )
    _sent_waiting: tuple[tuple[int, int], ...] = ()
    _sent_at: float = float("-inf")
    _complete_sent_at: float = float("-inf")

    def is_complete_due(self, now: float, interval_s: float) -> bool:
        """Returns whether all loads have to be reported now.

        Args:
            now: The time in seconds.
            interval_s: Seconds between two such reports.
        """
        return now - self._complete_sent_at >= interval_s

    def is_change_due(
        self,
        loads: Mapping[str, _base.EndpointLoad],
        now: float,
        *,
        with_releases: bool = False,
    ) -> bool:
        """Returns whether changed loads have to be reported now.

        Args:
            loads: The loads by endpoint id.
            now: The time in seconds.
            with_releases: True if peers wait for released capacity.
        """
        if loads == self._sent:
            return False
        if with_releases:
            return True
        is_delayed = now - self._sent_at >= _RELEASE_DELAY_S
        return is_delayed or any(
            _is_urgent(
                loads.get(name, _NO_LOAD), self._sent.get(name, _NO_LOAD)
            )
            for name in loads.keys() | self._sent.keys()
        )

    def is_queue_change_due(self, queue: _base.QueueReport, now: float) -> bool:
        """Returns whether peers have to learn now that other work waits.

        Args:
            queue: What waits.
            now: The time in seconds.
        """
        if now - self._sent_at < _QUEUE_INTERVAL_S:
            return False
        return _list_turns(queue) != self._sent_waiting

    def take_tokens(self, count: int, now: float) -> bool:
        """Takes what a due report to a number of gateways costs.

        Args:
            count: The number of gateways.
            now: The time in seconds.

        Returns:
            False when the rate limit holds the report back.
        """
        is_allowed = self.bucket.take(count, now)
        if not is_allowed:
            self.held_back_at = now
        return is_allowed

    def select(
        self,
        loads: Mapping[str, _base.EndpointLoad],
        now: float,
        *,
        is_complete: bool,
        queue: _base.QueueReport = _NO_QUEUE,
    ) -> Mapping[str, _base.EndpointLoad]:
        """Returns the loads to report, and records them as reported."""
        self._sent_waiting = _list_turns(queue)
        former, self._sent = self._sent, loads
        self._sent_at = now
        self.has_news = False
        if is_complete:
            self._complete_sent_at = now
            return loads
        return {
            name: loads.get(name, _NO_LOAD)
            for name in loads.keys() | former.keys()
            if loads.get(name) != former.get(name)
        }


def _list_turns(queue: _base.QueueReport) -> tuple[tuple[int, int], ...]:
    """Returns what others have to know at once: late work precedes none."""
    return tuple(
        (item.urgency, item.priority)
        for item in queue.waiting
        if item.remaining_s > 0
    )


def _is_urgent(load: _base.EndpointLoad, former: _base.EndpointLoad) -> bool:
    """Returns whether a change must reach the peers immediately.

    Peers that don't know of it could reserve the same capacity or use an
    endpoint that is changing its role or unreachable.
    """
    return (
        load.reserved_tokens > former.reserved_tokens
        or load.prefill_tokens > former.prefill_tokens
        or load.is_changing != former.is_changing
        or load.is_unreachable != former.is_unreachable
    )
