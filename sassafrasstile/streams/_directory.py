"""Records where streams began, also at other gateways, and finds it again."""

from collections.abc import Callable
import logging

from sassafrasstile import errors
from sassafrasstile import peers
from sassafrasstile.streams import _base
from sassafrasstile.streams import _codec
from sassafrasstile.streams import _prompts
from sassafrasstile.streams import _registry
from sassafrasstile.streams import _transfers
from sassafrasstile.streams import _upkeep
from sassafrasstile.streams import _version_exchange
from sassafrasstile.streams import _versions

_LOG = logging.getLogger("sassafrasstile.streams")
# A gateway that asks may know of others that had come or gone when the stream
# began, so it asks this many more than are told.
_EXTRA_ASKED = 3
# Where there are no more other gateways than this, all are asked.
_FEW_GATEWAYS = 16
# Each datagram may be lost, so it is sent again after this time.
_REPEAT_S = 0.05
_MAX_DATAGRAMS_PER_S = 400.0
# An origin is kept for this long after its deadline, for late datagrams and
# late callers.
_LIFETIME_MARGIN_S = 5.0
# A gateway that stops waits no longer than this for others to confirm what it
# hands on.
_HAND_ON_TIMEOUT_S = 0.3


class OriginDirectory(peers.PeerProtocol):
    """Knows where the streams of all gateways began.

    Any gateway may be the one to which a caller returns, and the one that
    began the stream may be gone. So a few others, which follow from the id of
    the stream, are told before the caller can see its first event. The number
    of datagrams for a stream doesn't grow with the number of gateways. When
    one of them starts again or goes, those that know tell it, or the one that
    comes next.

    Args:
        reactor: The reactor.
        transport: Sends to the other gateways.
        history: The versions that endpoints have had, which is extended by
            what other gateways remember.
        read_position: Returns how far this gateway has read the list of
            endpoints, or None before it has.

    Attributes:
        prompts: Finds streams whose callers name no attempt.
    """

    def __init__(
        self,
        *,
        reactor,
        transport: peers.Transport | None = None,
        history: _versions.VersionHistory | None = None,
        read_position: Callable[[], _base.ListPosition | None] = lambda: None,
    ):
        self._reactor = reactor
        messenger = peers.Messenger(
            reactor=reactor,
            max_datagrams_per_s=_MAX_DATAGRAMS_PER_S,
            repeat_s=_REPEAT_S,
            transport=transport,
        )
        super().__init__(messenger=messenger)
        self._registry = _registry.OriginRegistry()
        self._questions: peers.QuestionTable[_base.StreamOrigin | None] = (
            peers.QuestionTable(
                reactor=reactor,
                messenger=self._messenger,
                timeout_s=_base.ANSWER_TIMEOUT_S,
                is_enough=lambda origin: origin is not None,
            )
        )
        self._transfers = _transfers.TransferQueue(
            reactor=reactor,
            messenger=self._messenger,
            describe=lambda key: self._registry.describe(key, now=self._now()),
        )
        self._upkeep = _upkeep.HolderUpkeep(
            reactor=reactor,
            messenger=self._messenger,
            list_keys=self._registry.list_keys,
            tell=self._transfers.add,
        )
        self._version_exchange = _version_exchange.VersionExchange(
            reactor=reactor,
            messenger=self._messenger,
            history=history or _versions.VersionHistory(),
            read_position=read_position,
        )
        self.prompts = _prompts.PromptDirectory(
            reactor=reactor, messenger=self._messenger
        )

    def record(
        self, stream_id: str, origin: _base.StreamOrigin, *, deadline: float
    ) -> list[str]:
        """Records where a stream begins, here and at other gateways.

        Call this before the caller can see the first event.

        Args:
            stream_id: The id of the caller's attempt that brings the first
                event.
            origin: What the event comes from.
            deadline: The time in seconds after which the caller won't come
                back.

        Returns:
            The names of the other gateways that are told; none where the rate
            limit is exceeded.
        """
        now = self._now()
        key = _codec.make_key(stream_id)
        lifetime_s = max(0.0, deadline - now) + _LIFETIME_MARGIN_S
        self._registry.record(key, origin, now=now, lifetime_s=lifetime_s)
        holders = self._upkeep.choose_holders(key)
        announcement = _base.OriginAnnouncement(
            key=key, origin=origin, lifetime_s=lifetime_s
        )
        is_sent = self._messenger.send_twice(
            holders, _codec.encode_message(announcement)
        )
        if is_sent:
            return holders
        for name in holders:
            self._transfers.add(name, key)
        return []

    async def find(self, stream_id: str) -> _base.Lookup:
        """Finds where a stream began."""
        key = _codec.make_key(stream_id)
        origin = self._registry.find(key, now=self._now())
        if origin is not None:
            return _base.Lookup(source=_base.Source.OWN, origin=origin)
        origin = await self._ask(key)
        if origin is not None:
            return _base.Lookup(source=_base.Source.PEER, origin=origin)
        return _base.Lookup(source=_base.Source.NONE)

    def record_start(self, name: str) -> None:
        """Records that another gateway has started, or is heard of again."""
        # What was sent to its former process isn't confirmed by this one.
        self._transfers.drop(name)
        self._upkeep.record_start(name)

    def record_leaving(self, name: str) -> None:
        """Records that another gateway is being stopped."""
        self._upkeep.record_leaving(name)

    def record_silence(self, name: str) -> None:
        """Records that another gateway has fallen silent."""
        self._transfers.drop(name)
        self._upkeep.record_silence(name)

    async def hand_on(self) -> None:
        """Passes on what this gateway knows, before it stops."""
        deadline = self._now() + _HAND_ON_TIMEOUT_S
        await self._upkeep.tell_all(deadline=deadline)
        await self._transfers.finish(deadline)

    def start(self) -> None:
        """Starts to ask other gateways which versions they remember."""
        self._version_exchange.start()

    def close(self) -> None:
        """Stops sending."""
        self._version_exchange.close()
        self._upkeep.close()
        self._transfers.close()
        super().close()

    def receive(self, sender: str, payload: bytes) -> None:
        """Handles a message of another gateway.

        Args:
            sender: The gateway's name.
            payload: The message.
        """
        try:
            message = _codec.decode_message(payload)
        except errors.Error as reason:
            _LOG.warning("peers: datagram ignored: %s", reason)
            return
        match message:
            case _base.OriginAnnouncement():
                self._learn(message)
            case _base.OriginTransfer(
                number=number, announcements=announcements
            ):
                for announcement in announcements:
                    self._learn(announcement)
                receipt = _base.TransferReceipt(number=number)
                self._messenger.send([sender], _codec.encode_message(receipt))
            case _base.TransferReceipt(number=number):
                self._transfers.confirm(sender, number)
            case _base.VersionQuery() as query:
                self._version_exchange.answer(sender, query)
            case _base.VersionAnswer() as answer:
                self._version_exchange.receive_answer(answer)
            case _base.Query(key=key):
                origin = self._registry.find(key, now=self._now())
                answer = _base.Answer(key=key, origin=origin)
                self._messenger.send([sender], _codec.encode_message(answer))
            case _base.Answer(key=key, origin=origin):
                self._questions.receive(sender, key, origin)
            case _base.PromptQuery() as query:
                self.prompts.answer(sender, query)
            case _base.PromptAnswer() as answer:
                self.prompts.receive_answer(sender, answer)

    def _now(self) -> float:
        return self._reactor.seconds()

    def _learn(self, announcement: _base.OriginAnnouncement) -> None:
        self._registry.record(
            announcement.key,
            announcement.origin,
            now=self._now(),
            lifetime_s=announcement.lifetime_s,
        )

    def _choose_asked(self, key: str) -> list[str]:
        """Returns the gateways to ask; one that is silent may still answer."""
        zones = self.transport.list_zones()
        if len(zones) <= _FEW_GATEWAYS:
            return list(zones)
        holders = self._upkeep.choose_holders(key)
        ranked = self._upkeep.rank(key)[: len(holders) + _EXTRA_ASKED]
        return list(dict.fromkeys((*holders, *ranked)))

    async def _ask(self, key: str) -> _base.StreamOrigin | None:
        answers = await self._questions.ask(
            key,
            self._choose_asked(key),
            _codec.encode_message(_base.Query(key=key)),
        )
        known = (origin for origin in answers.values() if origin is not None)
        return next(known, None)
