"""Sends and receives load reports over UDP."""

from collections.abc import Callable, Collection, Mapping
import dataclasses
import logging

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile.peers import _base
from sassafrasstile.peers import _codec
from sassafrasstile.peers import _schedule

_LOG = logging.getLogger("sassafrasstile.peers")
# Interval of the checks for changed loads and silent peers.
_TICK_INTERVAL_S = 0.02
# Rate limits of the datagrams to the gateways of this zone, to those of other
# zones, and of records passed on.
_MAX_NEAR_DATAGRAMS_PER_S = 400.0
_MAX_FAR_DATAGRAMS_PER_S = 240.0
_MAX_PAGE_DATAGRAMS_PER_S = 400.0
# Larger datagrams would be sent in fragments, and lost with any of them.
_MAX_PAGE_BYTES = 1400
# A gateway reports about this often when it has work. Gateways of other zones
# hear of each change in time if the rate limit allows that many reports.
_TIMELY_REPORTS_PER_S = 4.0
# Reports count as late for this long after the rate limit held one back.
_LAG_MEMORY_S = 1.0
# Interval of the complete reports, sent also when nothing has changed. They
# make up for lost datagrams.
_COMPLETE_INTERVAL_S = 0.5
# The interval is longer where reports to other zones can't be timely, but no
# longer than this.
_MAX_COMPLETE_INTERVAL_S = 2.0
# A peer that was silent for this many intervals, so that some of its datagrams
# were lost, is taken to have nothing in flight.
_SILENCE_INTERVALS = 3
# A peer that was silent for this long is removed and gets no more reports.
_REMOVAL_TIMEOUT_S = 20.0
# It may serve callers all the while, for example in a region that is cut off.
_LOST_MEMORY_S = 7200.0
_MAX_LOST = 100
_NO_QUEUE = _base.QueueReport()


@dataclasses.dataclass(kw_only=True)
class _Peer:
    address: _base.PeerAddress
    last_seen_at: float
    incarnation: str = ""
    sequence: int = -1
    is_live: bool = False


class PeerChannel(protocol.DatagramProtocol):
    """Exchanges load reports with the other gateways.

    Gateways of the same availability zone mostly use the same endpoints, so
    they learn of each change at once. So do those of other zones while they
    are few; where they are many they get a report at intervals. So the cost of
    a gateway grows little with the number of zones.

    Args:
        reactor: The reactor.
        address: The address at which this gateway receives reports.
        incarnation: Identifies this gateway's process; new at each start.
        read_loads: Returns this gateway's load by endpoint id.
        on_report: Called with a peer's name, its load by endpoint id, and
            whether the endpoints left out have no load; otherwise their load
            is unchanged.
        read_topics: Returns the ends of topics that this gateway's own calls
            to the store showed.
        on_topics: Called with the ends of topics that a peer reports.
        on_page: Called with each page of records that a peer passes on.
        read_refusals: Returns the generations that this gateway has refused
            lately.
        on_refusals: Called with those that a peer has refused.
        on_message: Called with the sender's name and the payload of each
            message to this gateway alone.
        on_start: Called with the name of a peer when a process of it is heard
            of for the first time, or again after it was silent.
        on_leaving: Called with the name of a peer that is being stopped, at
            each of its reports.
        on_silence: Called with the name of a peer that has fallen silent.
        read_configuration_version: Returns the version in force here, or None
            before there is one.
        on_configuration_version: Called with a peer's name and the version
            that it has in force, or None.
        read_queue: Returns what waits for capacity at this gateway; called
            with whether it is for a complete report.
        on_queue: Called with a peer's name and what waits there, before
            `on_report`.
        read_speeds: Returns the observations of endpoints' speeds after the
            one with a number, and the number of the last one.
        on_speeds: Called with those that a peer reports.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        address: _base.PeerAddress,
        incarnation: str,
        read_loads: Callable[[], Mapping[str, _base.EndpointLoad]],
        on_report: Callable[
            [str, Mapping[str, _base.EndpointLoad], bool], None
        ],
        read_topics: Callable[[], Mapping[str, _base.TopicEndReport]] = dict,
        on_topics: Callable[
            [Mapping[str, _base.TopicEndReport]], None
        ] = lambda _topics: None,
        on_page: Callable[[_base.TopicPage], None] = lambda _page: None,
        read_refusals: Callable[[], tuple[_base.PromptRefusal, ...]] = tuple,
        on_refusals: Callable[
            [tuple[_base.PromptRefusal, ...]], None
        ] = lambda _refusals: None,
        on_message: Callable[[str, bytes], None] = lambda _name, _data: None,
        on_start: Callable[[str], None] = lambda _name: None,
        on_leaving: Callable[[str], None] = lambda _name: None,
        on_silence: Callable[[str], None] = lambda _name: None,
        read_configuration_version: Callable[[], int | None] = lambda: None,
        on_configuration_version: Callable[
            [str, int | None], None
        ] = lambda _name, _version: None,
        read_queue: Callable[[bool], _base.QueueReport] = lambda _is_complete: (
            _NO_QUEUE
        ),
        on_queue: Callable[
            [str, _base.QueueReport], None
        ] = lambda _name, _queue: None,
        read_speeds: Callable[
            [int], tuple[int, tuple[_base.SpeedReport, ...]]
        ] = lambda number: (number, ()),
        on_speeds: Callable[
            [tuple[_base.SpeedReport, ...]], None
        ] = lambda _speeds: None,
    ):
        self._reactor = reactor
        self._address = address
        self._incarnation = incarnation
        self._read_loads = read_loads
        self._on_report = on_report
        self._read_topics = read_topics
        self._on_topics = on_topics
        self._on_page = on_page
        self._read_refusals = read_refusals
        self._on_refusals = on_refusals
        self._on_message = on_message
        self._on_start = on_start
        self._on_leaving = on_leaving
        self._on_silence = on_silence
        self._read_configuration_version = read_configuration_version
        self._on_configuration_version = on_configuration_version
        self._read_queue = read_queue
        self._on_queue = on_queue
        self._read_speeds = read_speeds
        self._on_speeds = on_speeds
        self._peers: dict[str, _Peer] = {}
        self._lost_at: dict[str, float] = {}
        self._gateway_count = 1
        self._port: interfaces.IListeningPort | None = None
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor
        self._sequence = 0
        self._is_leaving = False
        self._near = _schedule.ReportSchedule(
            bucket=limits.TokenBucket(rate_per_s=_MAX_NEAR_DATAGRAMS_PER_S)
        )
        self._far = _schedule.ReportSchedule(
            bucket=limits.TokenBucket(rate_per_s=_MAX_FAR_DATAGRAMS_PER_S)
        )
        self._page_bucket = limits.TokenBucket(
            rate_per_s=_MAX_PAGE_DATAGRAMS_PER_S
        )
        self._near_peers: list[_Peer] = []
        self._far_peers: list[_Peer] = []

    def list_live(self) -> list[str]:
        """Returns the names of the peers from which reports arrive."""
        return [name for name, peer in self._peers.items() if peer.is_live]

    def list_zones(self) -> dict[str, str]:
        """Returns the availability zones of the known peers by name."""
        return {name: peer.address.zone for name, peer in self._peers.items()}

    def count_lost(self) -> int:
        """Returns how many peers fell silent and may still serve callers.

        They aren't among the known peers any more.
        """
        now = self._reactor.seconds()
        self._lost_at = {
            name: lost_at
            for name, lost_at in self._lost_at.items()
            if now - lost_at < _LOST_MEMORY_S
        }
        return len(self._lost_at)

    def send(self, name: str, payload: bytes) -> None:
        """Sends a message to a peer alone, if it is known.

        Args:
            name: The peer's name.
            payload: The message.
        """
        peer = self._peers.get(name)
        if peer is None:
            return
        message = _base.PeerMessage(sender=self._address, payload=payload)
        self._write(_codec.encode_message(message), peer.address)

    def count_gateways(self) -> int:
        """Returns the largest number of gateways known at once, with this one.

        It doesn't fall while gateways are cut off from each other.
        """
        return self._gateway_count

    def is_timely(self, zone: str) -> bool:
        """Returns whether reports of a zone's gateways arrive without delay.

        All gateways know about the same number of others, so this one's own
        rate limit shows how late theirs are.
        """
        return zone == self._address.zone or self._is_far_timely()

    def is_lagging(self) -> bool:
        """Returns whether reports have been arriving late just now.

        Gateways are under about the same load, so if the rate limit holds this
        one's reports back, it does so with theirs.
        """
        held_back_at = max(self._near.held_back_at, self._far.held_back_at)
        return self._reactor.seconds() - held_back_at < _LAG_MEMORY_S

    def _is_far_timely(self) -> bool:
        wanted_per_s = _TIMELY_REPORTS_PER_S * len(self._far_peers)
        return wanted_per_s <= _MAX_FAR_DATAGRAMS_PER_S

    def start(self) -> None:
        """Listens and starts sending reports."""
        self._port = self._reactor.listenUDP(
            self._address.port, self, interface=self._address.host
        )
        self._loop.start(_TICK_INTERVAL_S, now=False)

    def announce_loads(self) -> None:
        """Reports changed loads immediately, within the rate limit."""
        self._tick()

    def announce_room(self) -> None:
        """Reports released capacity immediately, within the rate limit."""
        self._tick(with_releases=True)

    def announce_leaving(self) -> None:
        """Reports from now on that this gateway is being stopped."""
        self._is_leaving = True
        self.announce_topics()

    def announce_topics(self) -> None:
        """Reports the ends of topics immediately, within the rate limit."""
        self._near.has_news = True
        self._far.has_news = True
        self._tick()

    def send_page(self, page: _base.TopicPage) -> None:
        """Passes records of a topic on to all peers, unless they are too large.

        Peers that don't get them learn from the next report that the topic has
        grown, and read it themselves.
        """
        data = _codec.encode_page(page)
        if len(data) > _MAX_PAGE_BYTES:
            return
        now = self._reactor.seconds()
        if not self._page_bucket.take(len(self._peers), now):
            return
        for peer in self._peers.values():
            self._write(data, peer.address)

    def close(self):
        """Reports that nothing is in flight and stops."""
        if self._loop.running:
            self._loop.stop()
        self._send({}, self._peers.values(), is_complete=True)
        return self._port.stopListening()

    def add_peer(self, address: _base.PeerAddress) -> None:
        """Adds a gateway to the receivers, or updates its address."""
        if address.name == self._address.name:
            return
        peer = self._peers.get(address.name)
        if peer is None or peer.address != address:
            _LOG.info(
                "peers: gateway %s is at %s:%d.",
                address.name,
                address.host,
                address.port,
            )
            self._peers[address.name] = _Peer(
                address=address, last_seen_at=self._reactor.seconds()
            )
            self._lost_at.pop(address.name, None)
            self._split_peers()
            self._gateway_count = max(self._gateway_count, len(self._peers) + 1)

    def datagramReceived(self, data: bytes, _address) -> None:  # noqa: N802
        """Handles a report from a peer."""
        try:
            if _codec.is_page(data):
                self._on_page(_codec.decode_page(data))
                return
            if _codec.is_message(data):
                self._receive_message(_codec.decode_message(data))
                return
            report = _codec.decode_report(data)
        except errors.Error as reason:
            _LOG.warning("peers: datagram ignored: %s", reason)
            return
        self._receive_report(report)

    def _receive_message(self, message: _base.PeerMessage) -> None:
        # The sender may have started just now; it wants an answer.
        self.add_peer(message.sender)
        self._on_message(message.sender.name, message.payload)

    def _receive_report(self, report: _base.LoadReport) -> None:
        self.add_peer(report.sender)
        peer = self._peers.get(report.sender.name)
        if peer is None:
            return
        is_known = report.incarnation == peer.incarnation
        if is_known and report.sequence <= peer.sequence:
            return
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.last_seen_at = self._reactor.seconds()
        was_live, peer.is_live = peer.is_live, True
        if not is_known or not was_live:
            self._on_start(peer.address.name)
        if report.is_leaving:
            self._on_leaving(peer.address.name)
        self._on_queue(peer.address.name, report.queue)
        self._on_report(peer.address.name, report.loads, report.is_complete)
        self._on_topics(report.topics)
        self._on_refusals(report.refusals)
        self._on_configuration_version(
            peer.address.name, report.configuration_version
        )
        if report.speeds:
            self._on_speeds(report.speeds)

    def _tick(self, *, with_releases: bool = False) -> None:
        now = self._reactor.seconds()
        self._expire_silent_peers(now)
        if not self._peers:
            return
        loads = self._read_loads()
        interval_s = self._choose_interval_s()
        queue = self._read_queue(
            self._near.is_complete_due(now, interval_s)
            or self._far.is_complete_due(now, interval_s)
        )
        for schedule, group in (
            (self._near, self._near_peers),
            (self._far, self._far_peers),
        ):
            self._report(
                schedule, group, loads, queue, now, with_releases=with_releases
            )

    def _split_peers(self) -> None:
        """Separates the peers in this gateway's zone from the others."""
        self._near_peers = []
        self._far_peers = []
        for peer in self._peers.values():
            is_near = peer.address.zone == self._address.zone
            (self._near_peers if is_near else self._far_peers).append(peer)

    def _choose_interval_s(self) -> float:
        """Returns the interval of the complete reports in seconds."""
        wanted_per_s = _TIMELY_REPORTS_PER_S * len(self._far_peers)
        factor = max(1.0, wanted_per_s / _MAX_FAR_DATAGRAMS_PER_S)
        return min(_MAX_COMPLETE_INTERVAL_S, factor * _COMPLETE_INTERVAL_S)

    def _report(
        self,
        schedule: _schedule.ReportSchedule,
        group: Collection[_Peer],
        loads: Mapping[str, _base.EndpointLoad],
        queue: _base.QueueReport,
        now: float,
        *,
        with_releases: bool,
    ) -> None:
        """Sends a group its report if one is due and the rate allows it."""
        if not group:
            return
        is_complete = schedule.is_complete_due(now, self._choose_interval_s())
        is_due = is_complete or schedule.has_news
        # Where changes would reach other zones late anyway, they wait for the
        # next complete report.
        if schedule is self._near or self._is_far_timely():
            is_due = is_due or schedule.is_change_due(
                loads, now, with_releases=with_releases
            )
            is_due = is_due or schedule.is_queue_change_due(queue, now)
        if not is_due or not schedule.take_tokens(len(group), now):
            return
        reported = schedule.select(
            loads, now, is_complete=is_complete, queue=queue
        )
        speeds: tuple[_base.SpeedReport, ...] = ()
        if is_complete:
            schedule.speeds_number, speeds = self._read_speeds(
                schedule.speeds_number
            )
        self._send(
            reported,
            group,
            queue=queue,
            is_complete=is_complete,
            speeds=speeds,
        )

    def _send(
        self,
        loads: Mapping[str, _base.EndpointLoad],
        group: Collection[_Peer],
        *,
        is_complete: bool,
        queue: _base.QueueReport = _NO_QUEUE,
        speeds: tuple[_base.SpeedReport, ...] = (),
    ) -> None:
        self._sequence += 1
        data = _codec.encode_report(
            _base.LoadReport(
                sender=self._address,
                incarnation=self._incarnation,
                sequence=self._sequence,
                is_complete=is_complete,
                loads=loads,
                topics=self._read_topics(),
                refusals=self._read_refusals(),
                configuration_version=self._read_configuration_version(),
                queue=queue,
                speeds=speeds,
                is_leaving=self._is_leaving,
            )
        )
        for peer in group:
            self._write(data, peer.address)

    def _write(self, data: bytes, address: _base.PeerAddress) -> None:
        try:
            self.transport.write(data, (address.host, address.port))
        except (OSError, error.MessageLengthError) as reason:
            _LOG.info("peers: report to %s not sent: %s", address.name, reason)

    def _expire_silent_peers(self, now: float) -> None:
        timeout_s = _SILENCE_INTERVALS * self._choose_interval_s()
        for name, peer in list(self._peers.items()):
            silent_s = now - peer.last_seen_at
            if peer.is_live and silent_s >= timeout_s:
                peer.is_live = False
                _LOG.info("peers: gateway %s is silent.", name)
                self._on_report(name, {}, True)
                self._on_silence(name)
            if silent_s >= _REMOVAL_TIMEOUT_S:
                del self._peers[name]
                if len(self._lost_at) < _MAX_LOST:
                    self._lost_at[name] = now
                self._split_peers()
