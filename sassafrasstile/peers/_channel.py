"""Sends and hears load reports over UDP."""

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
# Changes are looked for this often.
_TICK_S = 0.02
# Datagrams a second that one gateway sends at the most, to all together; as
# many may be saved up for a burst.
_DATAGRAMS_PER_S = 400.0
# That room was given back may be told this much later.
_RELEASED_S = 0.1
# The whole load is told this often, changed or not.
_WHOLE_S = 0.5
# A gateway that was silent for this long has nothing in flight any more.
_SILENCE_S = 1.5
# ... and for this long is no longer told anything.
_FORGET_S = 20.0

_NO_LOAD = _base.EndpointLoad()


@dataclasses.dataclass(kw_only=True)
class _Peer:
    address: _base.PeerAddress
    heard_at: float
    incarnation: str = ""
    sequence: int = -1
    counts: bool = False
    loads: dict[str, _base.EndpointLoad] = dataclasses.field(
        default_factory=dict
    )


class PeerChannel(protocol.DatagramProtocol):
    """Exchanges load reports with the other gateways.

    Args:
        reactor: The reactor.
        address: Where this gateway hears from others.
        incarnation: This start of the gateway.
        read_loads: Returns this gateway's load by endpoint id.
        on_report: Called with a peer's name and its load by endpoint id.
        read_topics: Returns where topics ended, by this gateway's own calls.
        on_topics: Called with where topics ended by a peer's calls.
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
        read_topics: Callable[[], Mapping[str, _base.TopicAge]] = dict,
        on_topics: Callable[
            [Mapping[str, _base.TopicAge]], None
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
        self._port: interfaces.IListeningPort | None = None
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor
        self._sequence = 0
        self._has_topic_news = False
        self._sent: Mapping[str, _base.EndpointLoad] = {}
        self._sent_at = float("-inf")
        self._whole_at = float("-inf")
        self._allowed = _DATAGRAMS_PER_S
        self._allowed_at = 0.0

    def list_live(self) -> list[str]:
        """Returns the other gateways that were heard of a moment ago."""
        return [name for name, peer in self._peers.items() if peer.counts]

    def start(self) -> None:
        """Listens and starts sending."""
        self._port = self._reactor.listenUDP(
            self._address.port, self, interface=self._address.host
        )
        self._loop.start(_TICK_S, now=False)

    def announce(self) -> None:
        """Tells the peers at once that room was taken here."""
        self._tick()

    def tell_topics(self) -> None:
        """Tells the peers at once where topics of the store end."""
        self._has_topic_news = True
        self._tick()

    def close(self):
        """Says that nothing is in flight any more, and stops."""
        if self._loop.running:
            self._loop.stop()
        self._send({}, is_whole=True)
        return self._port.stopListening()

    def add_peer(self, address: _base.PeerAddress) -> None:
        """Notes where another gateway hears from this one."""
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
                address=address, heard_at=self._reactor.seconds()
            )

    def datagramReceived(self, data: bytes, _address) -> None:  # noqa: N802
        """Handles a report of a peer."""
        try:
            report = _codec.decode_report(data)
        except errors.Error as reason:
            _LOG.warning("peers: datagram not taken: %s", reason)
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
        peer.heard_at = self._reactor.seconds()
        peer.counts = True
        if report.is_whole:
            peer.loads = dict(report.loads)
        else:
            peer.loads.update(report.loads)
        self._on_report(peer.address.name, peer.loads)
        self._on_topics(report.topics)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self._drop_silent(now)
        if not self._peers:
            return
        loads = {
            name: load
            for name, load in self._read_loads().items()
            if not load.is_empty
        }
        is_whole = now - self._whole_at >= _WHOLE_S
        if not is_whole and not self._is_due(loads, now):
            return
        if self._take_allowance(now):
            self._send(loads, is_whole=is_whole)

    def _is_due(
        self, loads: Mapping[str, _base.EndpointLoad], now: float
    ) -> bool:
        """Says whether there is something that peers should know by now."""
        if self._has_topic_news:
            return True
        if loads == self._sent:
            return False
        age_s = now - self._sent_at
        return age_s >= _RELEASED_S or any(
            _takes_more(load, self._sent.get(name, _NO_LOAD))
            for name, load in loads.items()
        )

    def _take_allowance(self, now: float) -> bool:
        """Takes one report from the allowance, if there is one left."""
        grown = (now - self._allowed_at) * _DATAGRAMS_PER_S
        self._allowed = min(_DATAGRAMS_PER_S, self._allowed + grown)
        self._allowed_at = now
        if self._allowed < len(self._peers):
            return False
        self._allowed -= len(self._peers)
        return True

    def _send(
        self, loads: Mapping[str, _base.EndpointLoad], *, is_whole: bool
    ) -> None:
        now = self._reactor.seconds()
        told = loads
        if is_whole:
            self._whole_at = now
        else:
            told = {
                name: loads.get(name, _NO_LOAD)
                for name in {*loads, *self._sent}
                if loads.get(name) != self._sent.get(name)
            }
        self._sequence += 1
        self._has_topic_news = False
        data = _codec.encode_report(
            _base.LoadReport(
                sender=self._address,
                incarnation=self._incarnation,
                sequence=self._sequence,
                is_whole=is_whole,
                loads=told,
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
            _LOG.info("peers: %s not told: %s", address.name, reason)

    def _drop_silent(self, now: float) -> None:
        for name, peer in list(self._peers.items()):
            silent_s = now - peer.heard_at
            if peer.counts and silent_s >= _SILENCE_S:
                peer.counts = False
                _LOG.info("peers: gateway %s is silent.", name)
                peer.loads = {}
                self._on_report(name, {})
            if silent_s >= _FORGET_S:
                del self._peers[name]


def _takes_more(load: _base.EndpointLoad, before: _base.EndpointLoad) -> bool:
    """Says whether room was taken that others must not take as well."""
    return (
        load.reserved_tokens > before.reserved_tokens
        or load.prefill_tokens > before.prefill_tokens
        or load.is_changing != before.is_changing
        or load.is_unreachable != before.is_unreachable
    )
