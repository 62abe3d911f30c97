"""Records where streams began, also at other gateways, and finds it again."""

import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile import peers
from sassafrasstile.streams import _base
from sassafrasstile.streams import _codec
from sassafrasstile.streams import _holders
from sassafrasstile.streams import _registry

_LOG = logging.getLogger("sassafrasstile.streams")
# Number of other gateways that are told where a stream began.
_HOLDER_COUNT = 3
# A gateway that asks may know of others that had come or gone when the stream
# began, so it asks this many more.
_EXTRA_ASKED = 3
# Where there are no more other gateways than this, all are asked.
_FEW_GATEWAYS = 16
# Each datagram may be lost, so it is sent again after this time.
_REPEAT_S = 0.05
# A caller waits no longer than this for the answers of other gateways.
_ANSWER_TIMEOUT_S = 0.15
_MAX_DATAGRAMS_PER_S = 400.0
# An origin is kept for this long after its deadline, for late datagrams and
# late callers.
_LIFETIME_MARGIN_S = 5.0


@dataclasses.dataclass(kw_only=True, eq=False)
class _PendingQuery:
    """A question to other gateways.

    Attributes:
        answer: Fires with the origin, or with None when nobody knows it.
        unanswered: The gateways that haven't answered.
    """

    answer: defer.Deferred
    unanswered: set[str]


class OriginDirectory:
    """Knows where the streams of all gateways began.

    Any gateway may be the one to which a caller returns, and the one that
    began the stream may be gone. So a few others, which follow from the id of
    the stream, are told before the caller can see its first event. The number
    of datagrams for a stream doesn't grow with the number of gateways.

    Args:
        reactor: The reactor.
        transport: Sends to the other gateways.

    Attributes:
        transport: Sends to the other gateways. It is set once the channel to
            them exists.
    """

    def __init__(
        self,
        *,
        reactor,
        transport: peers.Transport | None = None,
    ):
        self._reactor = reactor
        self.transport = transport or peers.NoTransport()
        self._registry = _registry.OriginRegistry()
        self._pending_queries: dict[str, list[_PendingQuery]] = {}
        self._calls: set = set()
        self._bucket = limits.TokenBucket(rate_per_s=_MAX_DATAGRAMS_PER_S)

    def start(self) -> None:
        """Does nothing; messages are handled as they arrive."""

    def close(self) -> None:
        """Stops sending."""
        for call in self._calls:
            call.cancel()
        self._calls.clear()

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
        holders = self._choose_holders(key)
        announcement = _base.OriginAnnouncement(
            key=key, origin=origin, lifetime_s=lifetime_s
        )
        return holders if self._send_twice(holders, announcement) else []

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
            case _base.OriginAnnouncement(
                key=key, origin=origin, lifetime_s=lifetime_s
            ):
                self._registry.record(
                    key, origin, now=self._now(), lifetime_s=lifetime_s
                )
            case _base.Query(key=key):
                origin = self._registry.find(key, now=self._now())
                self._send([sender], _base.Answer(key=key, origin=origin))
            case _base.Answer(key=key, origin=origin):
                self._receive_answer(sender, key, origin)

    def _now(self) -> float:
        return self._reactor.seconds()

    def _choose_holders(self, key: str) -> list[str]:
        """Returns the gateways to tell, those that are heard of first."""
        ranked = _holders.rank_holders(key, self.transport.list_zones())
        live = set(self.transport.list_live())
        ranked.sort(key=lambda name: name not in live)
        return ranked[:_HOLDER_COUNT]

    def _choose_asked(self, key: str) -> list[str]:
        """Returns the gateways to ask; one that is silent may still answer."""
        zones = self.transport.list_zones()
        if len(zones) <= _FEW_GATEWAYS:
            return list(zones)
        ranked = _holders.rank_holders(key, zones)
        return ranked[: _HOLDER_COUNT + _EXTRA_ASKED]

    async def _ask(self, key: str) -> _base.StreamOrigin | None:
        asked = self._choose_asked(key)
        if not asked:
            return None
        pending = _PendingQuery(answer=defer.Deferred(), unanswered=set(asked))
        self._pending_queries.setdefault(key, []).append(pending)
        pending.answer.addTimeout(_ANSWER_TIMEOUT_S, self._reactor)
        self._send_twice(asked, _base.Query(key=key), pending)
        try:
            return await pending.answer
        except defer.TimeoutError:
            return None
        finally:
            self._pending_queries[key].remove(pending)
            if not self._pending_queries[key]:
                del self._pending_queries[key]

    def _receive_answer(
        self, sender: str, key: str, origin: _base.StreamOrigin | None
    ) -> None:
        # An answer ends its pending, which leaves the list.
        for pending in list(self._pending_queries.get(key, ())):
            pending.unanswered.discard(sender)
            is_over = origin is not None or not pending.unanswered
            if is_over and not pending.answer.called:
                pending.answer.callback(origin)

    def _send_twice(
        self,
        names: list[str],
        message: _base.Message,
        pending: _PendingQuery | None = None,
    ) -> bool:
        """Sends a message now and once more, if it isn't answered by then.

        Returns:
            False when the rate limit held the first one back.
        """
        is_sent = self._send(names, message)

        def repeat():
            self._calls.discard(call)
            if pending is None:
                self._send(names, message)
            elif not pending.answer.called:
                self._send(sorted(pending.unanswered), message)

        call = self._reactor.callLater(_REPEAT_S, repeat)
        self._calls.add(call)
        return is_sent

    def _send(self, names: list[str], message: _base.Message) -> bool:
        if not self._bucket.take(len(names), self._now()):
            return False
        payload = _codec.encode_message(message)
        for name in names:
            self.transport.send(name, payload)
        return True
