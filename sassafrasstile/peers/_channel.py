"""Sends and receives load reports over UDP."""

from collections.abc import Callable, Mapping
import dataclasses
import logging

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile.peers import _base
from sassafrasstile.peers import _codec

_LOG = logging.getLogger("sassafrasstile.peers")
# Interval of the checks for changed loads and silent peers.
_TICK_INTERVAL_S = 0.02
# Rate limit of the datagrams that one gateway sends to all peers together. The
# burst size is one second's worth.
_MAX_DATAGRAMS_PER_S = 400.0
# Changes that only release capacity may be reported this much later.
_RELEASE_DELAY_S = 0.1
# Interval of the complete reports, sent also when nothing has changed. They
# make up for lost datagrams.
_COMPLETE_INTERVAL_S = 0.5
# A peer that was silent for this long is taken to have nothing in flight.
_SILENCE_TIMEOUT_S = 1.5
# A peer that was silent for this long is removed and gets no more reports.
_REMOVAL_TIMEOUT_S = 20.0

_NO_LOAD = _base.EndpointLoad()


@dataclasses.dataclass(kw_only=True)
class _Peer:
    address: _base.PeerAddress
    last_seen_at: float
    incarnation: str = ""
    sequence: int = -1
    is_live: bool = False
    loads: dict[str, _base.EndpointLoad] = dataclasses.field(
        default_factory=dict
    )


class PeerChannel(protocol.DatagramProtocol):
    """Exchanges load reports with the other gateways.

    Args:
        reactor: The reactor.
        address: The address at which this gateway receives reports.
        incarnation: Identifies this gateway's process; new at each start.
        read_loads: Returns this gateway's load by endpoint id.
        on_report: Called with a peer's name and its load by endpoint id.
        read_topics: Returns the ends of topics that this gateway's own calls
            to the store showed.
        on_topics: Called with the ends of topics that a peer reports.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        address: _base.PeerAddress,
        incarnation: str,
        read_loads: Callable[[], Mapping[str, _base.EndpointLoad]],
        on_report: Callable[[str, Mapping[str, _base.EndpointLoad]], None],
        read_topics: Callable[[], Mapping[str, _base.TopicEndReport]] = dict,
        on_topics: Callable[
            [Mapping[str, _base.TopicEndReport]], None
        ] = lambda _topics: None,
    ):
        self._reactor = reactor
        self._address = address
        self._incarnation = incarnation
        self._read_loads = read_loads
        self._on_report = on_report
        self._read_topics = read_topics
        self._on_topics = on_topics
        self._peers: dict[str, _Peer] = {}
        self._gateway_count = 1
        self._port: interfaces.IListeningPort | None = None
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor
        self._sequence = 0
        self._has_new_topic_ends = False
        self._sent: Mapping[str, _base.EndpointLoad] = {}
        self._sent_at = float("-inf")
        self._complete_sent_at = float("-inf")
        self._send_budget = _MAX_DATAGRAMS_PER_S
        self._refilled_at = 0.0

    def list_live(self) -> list[str]:
        """Returns the names of the peers from which reports arrive."""
        return [name for name, peer in self._peers.items() if peer.is_live]

    def count_gateways(self) -> int:
        """Returns the largest number of gateways known at once, with this one.

        It doesn't fall while gateways are cut off from each other.
        """
        return self._gateway_count

    def start(self) -> None:
        """Listens and starts sending reports."""
        self._port = self._reactor.listenUDP(
            self._address.port, self, interface=self._address.host
        )
        self._loop.start(_TICK_INTERVAL_S, now=False)

    def announce_loads(self) -> None:
        """Reports changed loads immediately, within the rate limit."""
        self._tick()

    def announce_topics(self) -> None:
        """Reports the ends of topics immediately, within the rate limit."""
        self._has_new_topic_ends = True
        self._tick()

    def close(self):
        """Reports that nothing is in flight and stops."""
        if self._loop.running:
            self._loop.stop()
        self._send({}, is_complete=True)
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
            self._gateway_count = max(self._gateway_count, len(self._peers) + 1)

    def datagramReceived(self, data: bytes, _address) -> None:  # noqa: N802
        """Handles a report from a peer."""
        try:
            report = _codec.decode_report(data)
        except errors.Error as reason:
            _LOG.warning("peers: datagram ignored: %s", reason)
            return
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
        peer.is_live = True
        if report.is_complete:
            peer.loads = dict(report.loads)
        else:
            peer.loads.update(report.loads)
        self._on_report(peer.address.name, peer.loads)
        self._on_topics(report.topics)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self._expire_silent_peers(now)
        if not self._peers:
            return
        loads = {
            name: load
            for name, load in self._read_loads().items()
            if not load.is_empty
        }
        is_complete = now - self._complete_sent_at >= _COMPLETE_INTERVAL_S
        if not is_complete and not self._is_due(loads, now):
            return
        if self._consume_send_budget(now):
            self._send(loads, is_complete=is_complete)

    def _is_due(
        self, loads: Mapping[str, _base.EndpointLoad], now: float
    ) -> bool:
        """Returns whether changes have to be reported now."""
        if self._has_new_topic_ends:
            return True
        if loads == self._sent:
            return False
        age_s = now - self._sent_at
        return age_s >= _RELEASE_DELAY_S or any(
            _is_urgent(load, self._sent.get(name, _NO_LOAD))
            for name, load in loads.items()
        )

    def _consume_send_budget(self, now: float) -> bool:
        """Returns whether the rate limit allows a report, and counts it.

        This is a token bucket in which each datagram costs one token.
        """
        refill = (now - self._refilled_at) * _MAX_DATAGRAMS_PER_S
        self._send_budget = min(
            _MAX_DATAGRAMS_PER_S, self._send_budget + refill
        )
        self._refilled_at = now
        if self._send_budget < len(self._peers):
            return False
        self._send_budget -= len(self._peers)
        return True

    def _send(
        self, loads: Mapping[str, _base.EndpointLoad], *, is_complete: bool
    ) -> None:
        now = self._reactor.seconds()
        reported = loads
        if is_complete:
            self._complete_sent_at = now
        else:
            reported = {
                name: loads.get(name, _NO_LOAD)
                for name in {*loads, *self._sent}
                if loads.get(name) != self._sent.get(name)
            }
        self._sequence += 1
        self._has_new_topic_ends = False
        data = _codec.encode_report(
            _base.LoadReport(
                sender=self._address,
                incarnation=self._incarnation,
                sequence=self._sequence,
                is_complete=is_complete,
                loads=reported,
                topics=self._read_topics(),
            )
        )
        self._sent = loads
        self._sent_at = now
        for peer in self._peers.values():
            self._write(data, peer.address)

    def _write(self, data: bytes, address: _base.PeerAddress) -> None:
        try:
            self.transport.write(data, (address.host, address.port))
        except OSError as reason:
            _LOG.info("peers: report to %s not sent: %s", address.name, reason)

    def _expire_silent_peers(self, now: float) -> None:
        for name, peer in list(self._peers.items()):
            silent_s = now - peer.last_seen_at
            if peer.is_live and silent_s >= _SILENCE_TIMEOUT_S:
                peer.is_live = False
                _LOG.info("peers: gateway %s is silent.", name)
                peer.loads = {}
                self._on_report(name, {})
            if silent_s >= _REMOVAL_TIMEOUT_S:
                del self._peers[name]


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
