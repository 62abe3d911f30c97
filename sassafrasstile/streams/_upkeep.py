"""Keeps origins at gateways that last, as gateways start and stop."""

from collections.abc import Callable, Collection, Iterator, Mapping
import dataclasses

from twisted.internet import interfaces
from twisted.internet import task

from sassafrasstile import peers
from sassafrasstile.streams import _holders

# Number of other gateways that hold the origin of a stream.
_HOLDER_COUNT = 3
# The first gateways of a stream's order, which are remembered.
_RANK_DEPTH = 12
_MAX_RANKS = 20_000
# For so few gateways it is quicker to exclude most streams than to rank all.
_FEW_NAMES = 6
# Changes within this time are handled together.
_SETTLE_S = 0.05
# A gateway that starts hears of the others within this time.
_FIRST_SETTLE_S = 1.0
# Until then, those that it hasn't heard of count as running.
_HEARING_S = 3.0
# Work done at a time, and the pause after it, which other work needs.
_WORK_S = 0.002
_PAUSE_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Standing:
    """Which gateways can be relied on to hold origins.

    Attributes:
        lasting: Those that run, and aren't being stopped.
        running: Those that run.
    """

    lasting: frozenset[str] = frozenset()
    running: frozenset[str] = frozenset()

    def order(self, name: str) -> int:
        """Returns a number that is lower for gateways that last longer."""
        return (name not in self.lasting) + (name not in self.running)


class HolderUpkeep:
    """Tells gateways of the origins that are theirs to hold.

    When a stream begins, the gateway that begins it tells its holders. A
    gateway that starts has forgotten what it held, and one that stops will. So
    each change of the gateways is followed by a pass over the streams known
    here, and those that hold one from now on are told. All holders do this, so
    a gateway is told while any of them runs. A pass is done in small parts.

    Args:
        reactor: The reactor.
        messenger: Sends to the other gateways.
        list_keys: Returns the keys of the streams known here.
        tell: Called with a gateway's name and a key that it has to hold.
    """

    def __init__(
        self,
        *,
        reactor,
        messenger: peers.Messenger,
        list_keys: Callable[[], list[str]],
        tell: Callable[[str, str], None],
    ):
        self._reactor = reactor
        self._messenger = messenger
        self._list_keys = list_keys
        self._tell = tell
        self._began_at = reactor.seconds()
        self._leaving: set[str] = set()
        self._silent: set[str] = set()
        self._started: set[str] = set()
        self._standing = _Standing()
        self._zones: Mapping[str, str] = {}
        self._zone_order = _holders.ZoneOrder({}, count=_RANK_DEPTH)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._call: interfaces.IDelayedCall | None = None
        self._pass: Iterator[None] | None = None
        self._is_due = False

    def record_start(self, name: str) -> None:
        """Records that a gateway has started, or is heard of again."""
        self._leaving.discard(name)
        self._silent.discard(name)
        self._started.add(name)
        self._request_pass()

    def record_leaving(self, name: str) -> None:
        """Records that a gateway is being stopped."""
        if name not in self._leaving:
            self._leaving.add(name)
            self._request_pass()

    def record_silence(self, name: str) -> None:
        """Records that a gateway has fallen silent."""
        self._silent.add(name)
        self._request_pass()

    def rank(self, key: str) -> list[str]:
        """Returns all gateways by how readily they hold a stream's origin."""
        return _holders.rank_holders(
            key, self._messenger.transport.list_zones()
        )

    def choose_holders(self, key: str) -> list[str]:
        """Returns the gateways that hold a stream's origin from now on."""
        self._update_zones()
        return self._choose(key, self._read_standing())

    async def tell_all(self, *, deadline: float) -> None:
        """Tells the holders of all streams, since this gateway stops.

        Those that it began come first: others may not know them.

        Args:
            deadline: When to give up, in seconds.
        """
        self._update_zones()
        standing = self._read_standing()
        keys = self._list_keys()
        keys.sort(key=lambda key: key not in self._ranks)
        began_at = self._reactor.seconds()
        for key in keys:
            for name in self._choose(key, standing):
                if name in standing.running:
                    self._tell(name, key)
            now = self._reactor.seconds()
            if now >= deadline:
                return
            if now - began_at >= _WORK_S:
                # Lets messages be sent and received.
                await task.deferLater(self._reactor, 0)
                began_at = self._reactor.seconds()

    def close(self) -> None:
        """Stops telling other gateways."""
        self._pass = None
        self._is_due = False
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    def _read_standing(self) -> _Standing:
        running = frozenset(self._messenger.transport.list_live())
        return _Standing(running=running, lasting=running - self._leaving)

    def _read_hearing_standing(self) -> _Standing:
        """Returns the same, with those not heard of yet after the start."""
        if not self._is_hearing():
            return self._read_standing()
        running = frozenset(self._zones) - self._silent
        return _Standing(running=running, lasting=running - self._leaving)

    def _is_hearing(self) -> bool:
        return self._reactor.seconds() - self._began_at < _HEARING_S

    def _update_zones(self) -> None:
        zones = self._messenger.transport.list_zones()
        if zones != self._zones or len(self._ranks) > _MAX_RANKS:
            self._zones = zones
            self._zone_order = _holders.ZoneOrder(zones, count=_RANK_DEPTH)
            self._ranks.clear()
            self._leaving &= zones.keys()
            self._silent &= zones.keys()

    def _choose(self, key: str, standing: _Standing) -> list[str]:
        """Returns the holders of a stream; those that last come first."""
        ranked = self._read_first(key)
        chosen = sorted(ranked, key=standing.order)[:_HOLDER_COUNT]
        if len(self._zones) > len(ranked) and any(map(standing.order, chosen)):
            everyone = _holders.rank_holders(key, self._zones)
            chosen = sorted(everyone, key=standing.order)[:_HOLDER_COUNT]
        return chosen

    def _read_first(self, key: str) -> tuple[str, ...]:
        """Returns the first gateways of a stream's order."""
        ranked = self._ranks.get(key)
        if ranked is None:
            everyone = _holders.rank_holders(key, self._zones)
            ranked = self._ranks[key] = tuple(everyone[:_RANK_DEPTH])
        return ranked

    def _concerns(self, key: str, names: Collection[str]) -> bool:
        """Returns whether one of some gateways may hold a stream's origin."""
        if key not in self._ranks and len(names) <= _FEW_NAMES:
            may_be_first = self._zone_order.may_be_first
            if not any(may_be_first(key, name) for name in names):
                return False
        return any(name in names for name in self._read_first(key))

    def _request_pass(self) -> None:
        self._is_due = True
        if self._pass is None:
            settled_at = self._began_at + _FIRST_SETTLE_S
            delay_s = max(_SETTLE_S, settled_at - self._reactor.seconds())
            self._work_within(delay_s)

    def _work_within(self, delay_s: float) -> None:
        """Works after a time, or at the time already set if that is earlier."""
        if self._call is None:
            self._call = self._reactor.callLater(delay_s, self._work)
        elif self._call.getTime() > self._reactor.seconds() + delay_s:
            self._call.reset(delay_s)

    def _work(self) -> None:
        """Does a part of a pass, or begins one that is due."""
        self._call = None
        if self._pass is None:
            self._is_due = False
            self._pass = self._run_pass()
        began_at = self._reactor.seconds()
        for _ in self._pass:
            if self._reactor.seconds() - began_at >= _WORK_S:
                self._call = self._reactor.callLater(_PAUSE_S, self._work)
                return
        self._pass = None
        if self._is_due:
            self._request_pass()
        elif self._is_hearing():
            # Then those never heard of count as running no longer.
            heard_at = self._began_at + _HEARING_S
            self._work_within(heard_at - self._reactor.seconds())

    def _run_pass(self) -> Iterator[None]:
        """Tells those that hold a stream's origin now and didn't before."""
        self._update_zones()
        started, self._started = self._started, set()
        former, standing = self._standing, self._read_hearing_standing()
        self._standing = standing
        live = frozenset(self._messenger.transport.list_live())
        changed = started | {
            name
            for name in self._zones
            if former.order(name) != standing.order(name)
        }
        # Then the first gateways of each stream include enough that last.
        are_few_gone = (
            len(self._zones.keys() - standing.lasting)
            <= _RANK_DEPTH - _HOLDER_COUNT
        )
        for key in self._list_keys():
            yield
            if are_few_gone and not self._concerns(key, changed):
                continue
            before = self._choose(key, former)
            for name in self._choose(key, standing):
                is_new = name in started or name not in before
                if is_new and name in live:
                    self._tell(name, key)
