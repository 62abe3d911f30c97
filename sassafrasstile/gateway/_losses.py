"""What a gateway knows of service endpoints that died and were replaced."""

import collections
import dataclasses

# A loss offset counts once the process has run on for this long: until then
# it may still read requests that were waiting when it learned the offset.
_SETTLE_S = 0.25
# A longer time between two events is a suspension. It must be shorter than
# the wait for a claim, after which a call may run without one.
_SUSPENSION_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    """A loss offset and from when on it has been known, in kernel time."""

    offset: int
    since: float


class LossTable:
    """The loss offset of each service, by which calls are dated.

    A call that is received while an offset is known was sent after the losses
    before that offset.
    """

    def __init__(self):
        self._settled: dict[str, int] = {}
        self._settling: dict[str, list[_Report]] = collections.defaultdict(list)
        self._last_now = 0.0

    def record(self, service: str, offset: int, *, now: float) -> None:
        """Records a loss offset that a sidecar reported."""
        self.advance(now)
        reports = self._settling[service]
        known = reports[-1].offset if reports else self._settled.get(service, 0)
        if offset > known:
            reports.append(_Report(offset=offset, since=now))

    def find_offset(self, service: str, *, now: float) -> int:
        """Returns the loss offset by which to date a call received now."""
        self.advance(now)
        return self._settled.get(service, 0)

    def advance(self, now: float) -> None:
        """Lets offsets count that have been known for long enough."""
        was_suspended = now - self._last_now > _SUSPENSION_S
        ran_until = self._last_now if was_suspended else now
        self._last_now = now
        for service, reports in self._settling.items():
            while reports and ran_until - reports[0].since >= _SETTLE_S:
                self._settled[service] = reports.pop(0).offset
            if was_suspended:
                self._settling[service] = [
                    dataclasses.replace(report, since=now) for report in reports
                ]
