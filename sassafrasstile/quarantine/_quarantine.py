"""Collects evidence on crashes from all gateways and refuses deadly prompts."""

from collections.abc import Callable, Iterable
import logging
import random

from twisted.internet import interfaces
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile.quarantine import _base
from sassafrasstile.quarantine import _codec
from sassafrasstile.quarantine import _evidence
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
# Larger datagrams would be sent in fragments, and lost with any of them.
_MAX_DATAGRAM_BYTES = 1200
_MAX_LOG_LINES_PER_S = 5.0


class Quarantine:
    """Knows which prompts crash engines, from the crashes at all gateways.

    Requests with the same deadly part come at any gateway, so no gateway sees
    many of the crashes. Each is told to all others at once.

    Args:
        reactor: The reactor.
        generator: The random number generator.
        transport: Sends to the other gateways.

    Attributes:
        transport: Sends to the other gateways. It is set once the channel to
            them exists.
    """

    def __init__(
        self,
        *,
        reactor,
        generator: random.Random,
        transport: peers.Transport | None = None,
    ):
        self.transport = transport or peers.NoTransport()
        self._reactor = reactor
        self._generator = generator
        self._log = _evidence.CrashLog()
        # Parts of this gateway's own reports that aren't known to be sound.
        self._reported: set[str] = set()
        self._active: frozenset[frozenset[str]] = frozenset()
        self._subscribers: list[Callable[[], None]] = []
        self._bucket = limits.TokenBucket(rate_per_s=_MAX_DATAGRAMS_PER_S)
        self._log_bucket = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)
        self._calls: set[interfaces.IDelayedCall] = set()
        self._loop = task.LoopingCall(self._repeat)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to tell other gateways what is known."""
        self._loop.start(_REPEAT_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops telling other gateways."""
        if self._loop.running:
            self._loop.stop()
        for call in self._calls:
            call.cancel()
        self._calls.clear()

    def subscribe(self, on_refusal: Callable[[], None]) -> None:
        """Calls a function whenever further prompts begin to be refused."""
        self._subscribers.append(on_refusal)

    def find(self, prompt: _base.Prompt) -> _base.Suspicion | None:
        """Returns why a prompt must not be sent to an engine, or None."""
        if self._log.is_empty:
            return None
        return self._log.find(prompt, self._now())

    def count_active(self) -> int:
        """Returns the number of sets of parts that are refused now."""
        return len(self._log.list_active(self._now()))

    def watch(
        self,
        prompt: _base.Prompt,
        engine: membership.EndpointRecord,
        *,
        request_id: str,
    ) -> _watch.RunWatch:
        """Returns a watch over a run of a prompt that begins at an engine."""
        return _watch.RunWatch(
            on_sound=lambda: self._record_sound(prompt),
            on_lost=lambda: self._record_loss(prompt, engine, request_id),
        )

    def receive(self, sender: str, payload: bytes) -> None:
        """Handles evidence of another gateway.

        Args:
            sender: The gateway's name.
            payload: The message.
        """
        try:
            evidence = _codec.decode_evidence(payload)
        except errors.Error as reason:
            _LOG.warning("peers: datagram ignored: %s", reason)
            return
        now = self._now()
        self._apply_sound(evidence.sound, now)
        for crash in evidence.crashes:
            self._log.add(
                crash.engine, crash.suspects, at=now - crash.age_s, now=now
            )
        self._announce_changes()
        suspects = [
            item for crash in evidence.crashes for item in crash.suspects
        ]
        sound = self._log.find_sound(suspects, now)
        if sound:
            self._send([sender], _base.Evidence(sound=tuple(sound)))

    def _now(self) -> float:
        return self._reactor.seconds()

    def _record_sound(self, prompt: _base.Prompt) -> None:
        self._log.record_answered(prompt)
        cleared = self._log.record_sound(prompt.shared, now=self._now())
        self._reported.difference_update(cleared)
        if cleared:
            self._tell_all(_base.Evidence(sound=tuple(cleared)))
        self._announce_changes()

    def _apply_sound(self, parts: Iterable[str], now: float) -> None:
        """Applies what another gateway knows to be sound.

        The gateway that has reported a crash tells it to all the others.
        """
        cleared = self._log.record_sound(parts, now=now)
        reported = self._reported.intersection(cleared)
        self._reported -= reported
        if reported:
            self._tell_all(_base.Evidence(sound=tuple(sorted(reported))))

    def _record_loss(
        self,
        prompt: _base.Prompt,
        engine: membership.EndpointRecord,
        request_id: str,
    ) -> None:
        now = self._now()
        key = _base.make_key(engine.endpoint_id, str(engine.started_ms))
        is_new = self._log.add(key, (prompt,), at=now, now=now)
        if self._log_bucket.take(1, now):
            _LOG.info(
                "quarantine: engine %s was lost before it answered request %s.",
                engine.endpoint_id,
                request_id,
                extra={
                    "request": request_id,
                    "endpoint": engine.endpoint_id,
                    "started_ms": engine.started_ms,
                    "prompt": prompt.own,
                    "parts": sorted(prompt.shared),
                    "outcome": "noted" if is_new else "known",
                },
            )
        if is_new:
            crash = _base.Crash(
                engine=key, age_s=0.0, suspects=frozenset((prompt,))
            )
            sound = self._log.find_sound((prompt,), now)
            self._reported |= prompt.shared.difference(sound)
            self._tell_all(_base.Evidence(crashes=(crash,), sound=tuple(sound)))
        self._announce_changes()

    def _announce_changes(self) -> None:
        """Tells which prompts begin to be refused, and which no longer are."""
        active = {
            item.parts: item for item in self._log.list_active(self._now())
        }
        added = active.keys() - self._active
        for parts in added:
            _LOG.warning(
                "quarantine: prompts begin to be refused. Reason: %d engines "
                "were lost under them.",
                active[parts].crashes,
                extra={"parts": sorted(parts)},
            )
        for parts in self._active - active.keys():
            _LOG.info(
                "quarantine: prompts are let through again.",
                extra={"parts": sorted(parts)},
            )
        self._active = frozenset(active)
        if added:
            for on_refusal in self._subscribers:
                on_refusal()

    def _repeat(self) -> None:
        """Tells some other gateways all that is known."""
        self._announce_changes()
        crashes = self._log.list_crashes(self._now())
        if not crashes:
            self._reported.clear()
            return
        names = sorted(self.transport.list_zones())
        count = min(_REPEAT_COUNT, len(names))
        chosen = self._generator.sample(names, count)
        for evidence in _split(crashes):
            self._send(chosen, evidence)

    def _tell_all(self, evidence: _base.Evidence) -> None:
        def tell() -> None:
            self._send(list(self.transport.list_zones()), evidence)

        def tell_again() -> None:
            self._calls.discard(call)
            tell()

        tell()
        call = self._reactor.callLater(_REPEAT_NEWS_S, tell_again)
        self._calls.add(call)

    def _send(self, names: list[str], evidence: _base.Evidence) -> None:
        if not names or not self._bucket.take(len(names), self._now()):
            return
        payload = _codec.encode_evidence(evidence)
        for name in names:
            self.transport.send(name, payload)


def _split(crashes: list[_base.Crash]) -> list[_base.Evidence]:
    """Returns the crashes in messages that each fit into a datagram."""
    groups: list[list[_base.Crash]] = [[]]
    size = 0
    for crash in crashes:
        evidence = _base.Evidence(crashes=(crash,))
        crash_size = len(_codec.encode_evidence(evidence))
        if groups[-1] and size + crash_size > _MAX_DATAGRAM_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(crash)
        size += crash_size
    return [_base.Evidence(crashes=tuple(group)) for group in groups]
