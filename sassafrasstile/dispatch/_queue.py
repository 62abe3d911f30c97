"""The queue of generations that wait for capacity on engines."""

import collections
from collections.abc import Collection, Mapping
import dataclasses
import enum
import itertools

from sassafrasstile import peers
from sassafrasstile import routes
from sassafrasstile.dispatch import _admission_rates
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _grants
from sassafrasstile.dispatch import _placement
from sassafrasstile.dispatch import _shares
from sassafrasstile.dispatch import _turns

# Late generations whose expected wait is longer than this are rejected.
_MAX_LATE_WAIT_S = 1.0

_NO_REPORT = peers.QueueReport()


class Urgency(enum.IntEnum):
    """The classes of generations, in the order of their admission."""

    RESUMED = 0
    PREFILLED = 1
    ON_TIME = 2
    LATE = 3


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A generation that waits for capacity.

    Attributes:
        service: The required service.
        size: The size of the generation.
        target_at: Target time of the first token, in seconds.
        wait_deadline: Time in seconds after which it is no longer queued.
        arrived_at: When its request arrived, in seconds.
        sequence: Breaks ties between equal arrival times.
        priority: Its rank; 0 is the most urgent.
        workspace: The name of its workspace, or an empty string.
        quota_per_s: The quota of its workspace in tokens a second, or None.
        prefilled_until: When its finished prefill expires, in seconds, or
            None without one.
        is_resumed: True when the caller already has a part of the output.
        may_prefill_remotely: False when only a local prefill is allowed.
        excluded: Engines on which it has failed.
        software_version: The version that its decode engine must have, or None
            for any.
        prefilled_version: The version that its finished prefill needs while it
            hasn't expired.
        lacks_decode: False if it waits for something else than memory of any
            decode engine: for prefill, or for engines of its version.
        ahead_elsewhere: What went before it at other gateways when it was last
            its turn here.
        start_s: Expected seconds from its admission to its first token.
        grant: The granted capacity, once it is admitted.
    """

    service: routes.Service
    size: _base.WorkSize
    target_at: float
    wait_deadline: float
    arrived_at: float
    sequence: int
    priority: int = 0
    workspace: str = ""
    quota_per_s: float | None = None
    prefilled_until: float | None = None
    is_resumed: bool = False
    may_prefill_remotely: bool = True
    excluded: tuple[_endpoints.Endpoint, ...] = ()
    software_version: str | None = None
    prefilled_version: str | None = None
    lacks_decode: bool = True
    ahead_elsewhere: _turns.AheadElsewhere = _turns.NOTHING_AHEAD
    start_s: float = 0.0
    grant: _grants.Grant | None = None

    def needs_prefill(self, now: float) -> bool:
        """Returns whether it has no finished prefill, or an expired one.

        Args:
            now: The time in seconds.
        """
        if not self.may_prefill_remotely:
            return False
        return self.prefilled_until is None or now >= self.prefilled_until

    def get_urgency(self, now: float) -> Urgency:
        """Returns its class in the order of admission."""
        if self.is_resumed:
            return Urgency.RESUMED
        if not self.needs_prefill(now):
            return Urgency.PREFILLED
        if self.target_at < now + self.start_s:
            return Urgency.LATE
        return Urgency.ON_TIME


class GenerationQueue:
    """Admits generations by whether they can still meet their target.

    Resumed generations are admitted first, then those with a finished
    prefill, since it expires soon. Others that can still meet their target
    follow, the most urgent rank first. Late ones come last, and only while some
    capacity is left over for new arrivals. Late generations that can't
    expect capacity soon are rejected immediately, which spares their
    callers a useless wait.

    Within a rank, workspaces that use far more than usual come last, and the
    target decides between the others. Capacity is left to what goes before at
    other gateways, as far as they tell. Each rank gets a least share.

    Args:
        placement: Chooses the engines.
    """

    def __init__(self, *, placement: _placement.Placement):
        self._placement = placement
        self._waiters: list[Waiter] = []
        self._sequence = itertools.count()
        self._peer_turns = _turns.PeerTurns()
        self._rates = _admission_rates.AdmissionRates()
        self._least_shares = _shares.LeastShares()
        self._workspace_shares = _shares.WorkspaceShares()
        self._is_holding = False

    @property
    def is_holding(self) -> bool:
        """True if capacity is left free for what waits at other gateways."""
        return self._is_holding

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self,
        *,
        service: routes.Service,
        size: _base.WorkSize,
        target_at: float,
        wait_deadline: float,
        arrived_at: float = 0.0,
        priority: int = 0,
        workspace: str = "",
        quota_per_s: float | None = None,
        prefilled_until: float | None = None,
        is_resumed: bool = False,
        may_prefill_remotely: bool = True,
        excluded: tuple[_endpoints.Endpoint, ...] = (),
        software_version: str | None = None,
        prefilled_version: str | None = None,
    ) -> Waiter:
        """Adds a generation; `admit` returns it once it has capacity.

        Args:
            service: The required service.
            size: The size of the generation.
            target_at: Target time of the first token, in seconds.
            wait_deadline: Time in seconds after which it is no longer
                queued.
            arrived_at: When its request arrived, in seconds.
            priority: Its rank; 0 is the most urgent.
            workspace: The name of its workspace, or an empty string.
            quota_per_s: The quota of its workspace in tokens a second, or
                None.
            prefilled_until: When its finished prefill expires, in seconds,
                or None without one.
            is_resumed: True when the caller already has a part of the
                output.
            may_prefill_remotely: False when only a local prefill is allowed.
            excluded: Engines on which it has failed.
            software_version: The version that its decode engine must have, or
                None for any.
            prefilled_version: The version of the engine that has prefilled it,
                or None without a finished prefill.
        """
        waiter = Waiter(
            service=service,
            size=size,
            target_at=target_at,
            wait_deadline=wait_deadline,
            arrived_at=arrived_at,
            sequence=next(self._sequence),
            priority=priority,
            workspace=workspace,
            quota_per_s=quota_per_s,
            prefilled_until=prefilled_until,
            is_resumed=is_resumed,
            may_prefill_remotely=may_prefill_remotely,
            excluded=excluded,
            software_version=software_version,
            prefilled_version=prefilled_version,
            start_s=self._placement.estimate_start_s(service, size),
        )
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a generation that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def admit(self, now: float) -> list[Waiter]:
        """Reserves capacity for generations and returns the admitted ones."""
        admitted = []
        # Versions of engines that are full, by service.
        full_versions: dict[str, set[str]] = collections.defaultdict(set)
        left_to_others: set[str] = set()
        self._rates.set_waiting(self._list_priorities(), now)
        for waiter in self._sort(now):
            service = waiter.service.name
            if service in left_to_others:
                continue
            if self._must_leave(waiter, now):
                left_to_others.add(service)
                continue
            full = full_versions[service]
            waiter.lacks_decode = True
            match self._choose(waiter, now, full):
                case _placement.VersionShortage(versions=versions):
                    # Later generations leave the engines of these versions to
                    # it, and needn't wait for those of others.
                    full.update(versions)
                    waiter.lacks_decode = False
                    continue
                case _placement.Shortage.DECODE:
                    # Smaller generations must not starve it.
                    break
                case _placement.Shortage.PREFILL:
                    # Generations that are already prefilled, or that a
                    # decode engine can prefill, need no prefill engine and
                    # so don't delay this one.
                    waiter.lacks_decode = False
                    continue
                case grant:
                    waiter.grant = grant
            waiter.grant.reserve()
            self._waiters.remove(waiter)
            self._record(waiter, now)
            admitted.append(waiter)
        self._is_holding = bool(left_to_others)
        return admitted

    def _must_leave(self, waiter: Waiter, now: float) -> bool:
        """Returns whether free capacity goes to other gateways first."""
        is_begun = waiter.get_urgency(now) < Urgency.ON_TIME
        if is_begun or self._is_owed(waiter, now):
            waiter.ahead_elsewhere = _turns.NOTHING_AHEAD
            return False
        waiter.ahead_elsewhere = self._peer_turns.measure(
            waiter.service.name, self._find_turn(waiter, now), now
        )
        if not waiter.ahead_elsewhere.total:
            return False
        places = self.count_places(waiter.service, waiter.size, now)
        return places <= waiter.ahead_elsewhere.total

    def count_places(
        self, service: routes.Service, size: _base.WorkSize, now: float
    ) -> int:
        """Returns for how many generations of a size there is capacity.

        Args:
            service: The required service.
            size: The size.
            now: The time in seconds.
        """
        return self._placement.count_places(service, size, now)

    def _record(self, waiter: Waiter, now: float) -> None:
        """Records an admission."""
        tokens = waiter.size.memory_tokens
        self._rates.record(waiter.priority, tokens=tokens, now=now)
        self._least_shares.record(
            waiter.priority, tokens=tokens, waiting=self._count_waiting(now)
        )
        if waiter.workspace:
            self._workspace_shares.record(
                waiter.workspace, tokens=tokens, now=now
            )

    # What gateways tell each other.

    def make_report(
        self, now: float, *, has_ranks: bool, is_complete: bool = True
    ) -> peers.QueueReport:
        """Returns what other gateways have to know of this queue.

        Args:
            now: The time in seconds.
            has_ranks: False if all generations have the same rank.
            is_complete: False to leave out what needn't be told each time.
        """
        waiting: tuple[peers.WaitingGeneration, ...] = ()
        if has_ranks and self._waiters:
            # Others would leave memory to what can't use it.
            ordered = [item for item in self._sort(now) if item.lacks_decode]
            first = ordered[: _turns.MAX_TOLD]
            waiting = tuple(self._describe(item, now) for item in first)
        if not is_complete:
            return peers.QueueReport(waiting=waiting) if waiting else _NO_REPORT
        return peers.QueueReport(
            waiting=waiting,
            admissions=self._rates.list_own() if has_ranks else (),
            rates=self._workspace_shares.list_own(now),
        )

    def _describe(self, waiter: Waiter, now: float) -> peers.WaitingGeneration:
        turn = self._find_turn(waiter, now)
        return peers.WaitingGeneration(
            service=waiter.service.name,
            urgency=turn.urgency,
            priority=turn.priority,
            is_crowding=turn.is_crowding,
            remaining_s=waiter.target_at - now,
        )

    def apply_report(
        self, peer: str, report: peers.QueueReport, now: float
    ) -> None:
        """Records what waits at another gateway and what it has admitted.

        Args:
            peer: The gateway's name.
            report: Its report.
            now: The time in seconds.
        """
        self._peer_turns.apply(peer, report, now)
        self._workspace_shares.apply(peer, report, now)
        news = self._rates.apply(peer, report, now)
        if not news:
            return
        waiting = self._count_waiting(now)
        for item in news:
            self._least_shares.add(
                item.priority, tokens=item.tokens, waiting=waiting
            )

    def _count_waiting(self, now: float) -> Mapping[int, int]:
        """Returns at how many gateways each rank waits that waits here."""
        return {
            priority: 1 + self._peer_turns.count_gateways(priority, now)
            for priority in self._list_priorities()
        }

    def _list_priorities(self) -> set[int]:
        return {item.priority for item in self._waiters}

    def _choose(
        self, waiter: Waiter, now: float, full_versions: Collection[str]
    ) -> _grants.Grant | _placement.Shortage | _placement.VersionShortage:
        needs_prefill = waiter.needs_prefill(now)
        version = waiter.software_version
        if version is None and not needs_prefill:
            version = waiter.prefilled_version
        return self._placement.choose_for_generation(
            service=waiter.service,
            size=waiter.size,
            now=now,
            needs_prefill=needs_prefill,
            is_late=waiter.get_urgency(now) is Urgency.LATE,
            excluded=waiter.excluded,
            software_version=version,
            avoided_versions=full_versions,
        )

    def expire(self, now: float) -> list[Waiter]:
        """Removes and returns waiters that can't expect capacity in time."""
        backoffs_s = self._measure_backoffs(now)
        expired = []
        ahead: list[Waiter] = []
        for waiter in self._sort(now):
            wait_s = self._estimate_wait_s(waiter, ahead, now)
            resumes_at = now + backoffs_s[waiter.service.name]
            if resumes_at >= waiter.wait_deadline or self._should_expire(
                waiter, wait_s, now
            ):
                expired.append(waiter)
            else:
                ahead.append(waiter)
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired

    def _estimate_wait_s(
        self, waiter: Waiter, ahead: Collection[Waiter], now: float
    ) -> float:
        """Returns how long a generation waits behind others, in seconds."""
        turn = self._find_turn(waiter, now)
        elsewhere = self._peer_turns.measure(waiter.service.name, turn, now)
        same_rank = sum(
            item.priority == waiter.priority
            and item.get_urgency(now) is turn.urgency
            for item in ahead
        )
        return self._rates.estimate_wait_s(
            waiter.priority,
            more_urgent=len(ahead) - same_rank + elsewhere.more_urgent,
            same_rank=same_rank + elsewhere.same_rank,
            now=now,
        )

    def estimate_queue_end_s(
        self, service: routes.Service, priority: int, now: float
    ) -> float:
        """Returns when what waits now of a rank will have capacity, in seconds.

        Args:
            service: The required service.
            priority: The rank.
            now: The time in seconds.
        """
        elsewhere = self._peer_turns.measure_rank(service.name, priority, now)
        ranks = [
            item.priority
            for item in self._waiters
            if item.service.name == service.name
        ]
        return self._rates.estimate_wait_s(
            priority,
            more_urgent=sum(rank < priority for rank in ranks)
            + elsewhere.more_urgent,
            same_rank=ranks.count(priority) + elsewhere.same_rank,
            now=now,
        )

    def _measure_backoffs(self, now: float) -> dict[str, float]:
        """Returns the seconds until an engine takes requests, by service."""
        services = {item.service.name for item in self._waiters}
        return {
            service: self._placement.measure_decode_backoff_s(service, now)
            for service in services
        }

    def _should_expire(self, waiter: Waiter, wait_s: float, now: float) -> bool:
        if now >= waiter.wait_deadline:
            return True
        if waiter.software_version and not self._placement.has_decode_engine(
            waiter.service.name, software_version=waiter.software_version
        ):
            # Its version has left.
            return True
        match waiter.get_urgency(now + wait_s):
            case Urgency.LATE:
                return wait_s > _MAX_LATE_WAIT_S
            case _:
                return False

    def _find_turn(self, waiter: Waiter, now: float) -> _turns.Turn:
        return _turns.Turn(
            urgency=waiter.get_urgency(now),
            priority=waiter.priority,
            is_crowding=self._workspace_shares.is_crowding(
                waiter.workspace, now=now, quota_per_s=waiter.quota_per_s
            ),
            target_at=waiter.target_at,
        )

    def _is_owed(self, waiter: Waiter, now: float) -> bool:
        """Returns whether a generation goes first for its rank's share."""
        is_on_time = waiter.get_urgency(now) is Urgency.ON_TIME
        return is_on_time and self._least_shares.owes(
            waiter.priority, tokens=waiter.size.memory_tokens
        )

    def _sort(self, now: float) -> list[Waiter]:
        turns = {item: self._find_turn(item, now) for item in self._waiters}
        ordered = sorted(
            self._waiters,
            key=lambda item: (turns[item], item.arrived_at, item.sequence),
        )
        # The first of each rank that is owed its share goes before the others
        # of its class.
        owed: dict[int, Waiter] = {}
        for waiter in ordered:
            if self._is_owed(waiter, now):
                owed.setdefault(waiter.priority, waiter)
        if not owed:
            return ordered
        firsts = list(owed.values())
        return sorted(
            ordered,
            key=lambda item: (turns[item].urgency, item not in firsts),
        )
