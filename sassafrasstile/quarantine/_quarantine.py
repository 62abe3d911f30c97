"""Collects evidence on crashes from all gateways; refuses what causes them."""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import logging
import random

from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile.quarantine import _base
from sassafrasstile.quarantine import _codec
from sassafrasstile.quarantine import _crash_log
from sassafrasstile.quarantine import _messages
from sassafrasstile.quarantine import _watch

_LOG = logging.getLogger("sassafrasstile.quarantine")
# What is known is told again at this interval, to gateways that have missed it
# or have started since.
_REPEAT_INTERVAL_S = 1.0
# Number of other gateways that are told each time. Each tells as many, so that
# all hear it within a few intervals, however many they are.
_REPEAT_COUNT = 5
# What is new is told to all at once, and again after this time, since each
# datagram may be lost.
_REPEAT_NEWS_S = 0.1
_MAX_DATAGRAMS_PER_S = 200.0
_MAX_LOG_LINES_PER_S = 5.0


class Quarantine(peers.PeerProtocol):
    """Knows which requests crash endpoints, from the crashes at all gateways.

    Requests with the same deadly content, or part of it, come at any gateway,
    so no gateway sees many of the crashes. Each is told to all others at once.

    Args:
        reactor: The reactor.
        generator: The random number generator.
        transport: Sends to the other gateways.
    """

    def __init__(
        self,
        *,
        reactor,
        generator: random.Random,
        transport: peers.Transport | None = None,
    ):
        self._reactor = reactor
        messenger = peers.Messenger(
            reactor=reactor,
            max_datagrams_per_s=_MAX_DATAGRAMS_PER_S,
            repeat_s=_REPEAT_NEWS_S,
            transport=transport,
        )
        super().__init__(messenger=messenger)
        self._generator = generator
        self._crashes = _crash_log.CrashLog()
        self._active: frozenset[_base.Suspicion] = frozenset()
        self._subscribers: list[Callable[[], None]] = []
        self._log_bucket = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)
        self._loop = task.LoopingCall(self._repeat)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to tell other gateways what is known."""
        self._loop.start(_REPEAT_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops telling other gateways."""
        if self._loop.running:
            self._loop.stop()
        super().close()

    def subscribe(self, on_refusal: Callable[[], None]) -> None:
        """Calls a function whenever further requests begin to be refused."""
        self._subscribers.append(on_refusal)

    def find(self, content: _base.Content) -> _base.Suspicion | None:
        """Returns why a request must not be sent to an endpoint, or None."""
        if self._crashes.is_empty:
            return None
        return self._crashes.find(content, self._now())

    def count_active(self) -> int:
        """Returns the number of suspicions for which requests are refused."""
        return len(self._crashes.list_active(self._now()))

    def watch(
        self,
        content: _base.Content,
        engine: membership.EndpointRecord,
        *,
        request_id: str,
    ) -> _watch.RunWatch:
        """Returns a watch over a run that begins at an endpoint."""
        return _watch.RunWatch(
            on_answer=lambda: self._record_answer(content),
            on_loss=lambda lost_at: self._record_loss(
                content, engine, request_id, lost_at
            ),
        )

    def tell(self, name: str) -> None:
        """Tells another gateway, which may have started, what matters.

        Args:
            name: The gateway's name.
        """
        self._tell([name], self._crashes.list_relevant(self._now()))

    def receive(self, sender: str, payload: bytes) -> None:
        """Handles what another gateway knows of crashes.

        Args:
            sender: The gateway's name.
            payload: The message.
        """
        now = self._now()
        try:
            crashes = _codec.decode_crashes(payload)
        except errors.Error as reason:
            if self._log_bucket.take(1, now):
                _LOG.warning("peers: datagram ignored: %s", reason)
            return
        is_new = [self._crashes.add(crash, now=now) for crash in crashes]
        if any(is_new):
            self._announce_changes()
        self._tell_what_is_missing(sender, crashes)

    def _now(self) -> float:
        return self._reactor.seconds()

    def _tell_what_is_missing(
        self, sender: str, crashes: Iterable[_base.Crash]
    ) -> None:
        """Answers a gateway that suspects more than is known here."""
        known = [
            self._crashes.describe(crash, self._now()) for crash in crashes
        ]
        cleared = [
            mine
            for theirs, mine in zip(crashes, known, strict=True)
            if mine is not None and _clears_more(mine, theirs)
        ]
        self._tell([sender], cleared)

    def _record_answer(self, content: _base.Content) -> None:
        changed = self._crashes.record_answer(content, now=self._now())
        if changed:
            self._tell_all(changed)
            self._announce_changes()

    def _record_loss(
        self,
        content: _base.Content,
        engine: membership.EndpointRecord,
        request_id: str,
        lost_at: float | None,
    ) -> None:
        now = self._now()
        crash = _base.Crash(
            engine=_base.make_key(engine.endpoint_id, str(engine.started_ms)),
            age_s=0.0 if lost_at is None else now - lost_at,
            suspects=frozenset((content,)),
        )
        is_new = self._crashes.add(crash, now=now)
        if self._log_bucket.take(1, now):
            _LOG.info(
                "quarantine: endpoint %s was lost before it answered "
                "request %s.",
                engine.endpoint_id,
                request_id,
                extra={
                    "request": request_id,
                    "endpoint": engine.endpoint_id,
                    "started_ms": engine.started_ms,
                    "prompt": content.identity,
                    "parts": sorted(content.shared),
                    "outcome": "noted" if is_new else "known",
                },
            )
        if is_new:
            self._tell_all([crash])
            self._announce_changes()

    def _announce_changes(self) -> None:
        """Tells which requests begin to be refused, and which no longer are."""
        active = {
            (item.parts, item.identity): item
            for item in self._crashes.list_active(self._now())
        }
        before = {(item.parts, item.identity): item for item in self._active}
        added = [active[key] for key in active.keys() - before.keys()]
        for item in added:
            _LOG.warning(
                "quarantine: requests begin to be refused. Reason: %d "
                "endpoints were lost under them.",
                len(item.crashes),
                extra=_describe(item),
            )
        for key in before.keys() - active.keys():
            _LOG.info(
                "quarantine: requests are let through again.",
                extra=_describe(before[key]),
            )
        self._active = frozenset(active.values())
        if added:
            for on_refusal in self._subscribers:
                on_refusal()

    def _repeat(self) -> None:
        """Tells some other gateways what matters."""
        self._announce_changes()
        crashes = self._crashes.list_relevant(self._now())
        names = sorted(self.transport.list_zones())
        count = min(_REPEAT_COUNT, len(names))
        self._tell(self._generator.sample(names, count), crashes)

    def _tell_all(self, crashes: Collection[_base.Crash]) -> None:
        """Tells all other gateways of crashes, now and once more."""
        told_at = self._now()

        def tell() -> None:
            now = self._now()
            aged = [
                dataclasses.replace(item, age_s=item.age_s + now - told_at)
                for item in crashes
            ]
            known = [self._crashes.describe(item, now) for item in aged]
            # They may be forgotten by now, where there are many.
            remembered = [item for item in known if item is not None]
            self._tell(list(self.transport.list_zones()), remembered)

        tell()
        self._messenger.call_later(tell)

    def _tell(
        self, names: Collection[str], crashes: Iterable[_base.Crash]
    ) -> None:
        for payload in _messages.make_messages(crashes):
            self._messenger.send(names, payload)


def _clears_more(mine: _base.Crash, theirs: _base.Crash) -> bool:
    """Returns whether one gateway suspects less of a crash than another."""
    suspects = {item.identity: item.shared for item in mine.suspects}
    return any(
        item.identity in mine.answered
        or item.shared - suspects.get(item.identity, item.shared)
        for item in theirs.suspects
    )


def _describe(item: _base.Suspicion) -> dict:
    """Returns the fields of a suspicion's log lines."""
    return {
        "parts": sorted(item.parts),
        "prompt": item.identity,
        "crashes": sorted(item.crashes),
    }
