"""Has the configuration here confirmed, by the store and by other gateways."""

from collections.abc import Callable
import logging
import random
import secrets

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile import peers
from sassafrasstile.workspaces import _belief
from sassafrasstile.workspaces import _codec
from sassafrasstile.workspaces import _tree

_LOG = logging.getLogger("sassafrasstile.workspaces")
_NUMBER_BITS = 53
_ANSWER_TIMEOUT_S = 0.15
# A question is sent again after this time, since any datagram may be lost.
_REPEAT_S = 0.05
_MAX_DATAGRAMS_PER_S = 100.0
_MAX_LOG_LINES_PER_S = 1.0
# The interval at which the belief is confirmed, as a share of the age up to
# which keys are relied on.
_INTERVAL_SHARE = 0.18
# Shares of that interval:
# An older belief shows that those who should confirm it don't.
_CALM_AGE_SHARE = 2.25
# From an age between these on, the store is called, whatever others answer. It
# varies, so that one that calls can help the others.
_CALL_AGE_SHARES = (2.5, 3.5)
# The shortest time between two questions, and that after one in vain.
_MIN_PAUSE_SHARE = 0.25
_RETRY_SHARE = 0.4
# A gateway whose belief is too old isn't asked again for this time.
_OLD_PAUSE_SHARE = 1.5
# The gateway that is asked has just been confirmed itself.
_FOLLOW_DELAY_S = 0.03


class BeliefExchange(peers.PeerProtocol):
    """Keeps the belief in keys young, with few calls to the store.

    Two gateways call the store. Each other one asks a gateway that is nearer
    to it, so that none has to answer many; a gateway that is silent, behind or
    out of date itself isn't asked for a while. An answer is asked for soon
    after the other gateway expects to be confirmed, so ages hardly add up.

    Args:
        reactor: The reactor.
        name: This gateway's name.
        belief: The belief in the keys in force here.
        read_time_s: Returns the time in seconds on the belief's clock.
        max_age_s: The age up to which keys are relied on, or None to rely on
            the last known ones for good.
        has_keys: Returns whether the configuration in force has keys.
        is_watcher: Returns whether this gateway long-polls the store anyway.
        read_store: Reads the configuration's topic in the store at once.
        generator: The source of random numbers.
        on_lapse: Called when the belief has become too old.
        transport: Sends to the other gateways.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        belief: _belief.KeyBelief,
        read_time_s: Callable[[], float] = _belief.read_boot_time_s,
        max_age_s: float | None,
        has_keys: Callable[[], bool],
        is_watcher: Callable[[], bool],
        read_store: Callable[[], None],
        generator: random.Random,
        on_lapse: Callable[[], None] = lambda: None,
        transport: peers.Transport | None = None,
    ):
        messenger = peers.Messenger(
            reactor=reactor,
            max_datagrams_per_s=_MAX_DATAGRAMS_PER_S,
            repeat_s=_REPEAT_S,
            transport=transport,
        )
        super().__init__(messenger=messenger)
        self._reactor = reactor
        self._name = name
        self._belief = belief
        self._read_time_s = read_time_s
        self._max_age_s = max_age_s
        self._has_keys = has_keys
        self._is_watcher = is_watcher
        self._read_store = read_store
        self._generator = generator
        self._on_lapse = on_lapse
        self._interval_s = (max_age_s or 0.0) * _INTERVAL_SHARE
        self._questions: peers.QuestionTable[_codec.VersionAnswer] = (
            peers.QuestionTable(
                reactor=reactor,
                messenger=messenger,
                timeout_s=_ANSWER_TIMEOUT_S,
            )
        )
        # The gateways that aren't asked for a while, and until when.
        self._avoided: dict[str, float] = {}
        self._has_failed = False
        # Whether the others rely on this gateway's calls to the store.
        self._is_root = False
        self._called_at = float("-inf")
        self._due_at = float("-inf")
        self._is_lapsed = False
        self._log_bucket = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)
        self._running: defer.Deferred | None = None
        self._lapse_call: interfaces.IDelayedCall | None = None

    @property
    def max_wait_s(self) -> float:
        """How long the store may hold a call open, in seconds."""
        return self._interval_s if self._is_needed() else float("inf")

    def start(self) -> None:
        """Starts to have the belief confirmed, if keys may become too old."""
        if self._max_age_s is not None:
            self._running = defer.ensureDeferred(self._run())
            self._running.addErrback(self._log_failure)

    def close(self) -> None:
        """Stops asking and answering."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        if self._lapse_call is not None and self._lapse_call.active():
            self._lapse_call.cancel()
        super().close()

    def measure_age_s(self) -> float:
        """Returns the age of the belief in seconds; zero if none is needed."""
        return self._belief.measure_age_s() if self._is_needed() else 0.0

    def record_call(self, begun_at: float) -> None:
        """Records a call to the store whose records are applied here.

        Args:
            begun_at: The time at which the call was begun, in seconds.
        """
        now = self._now()
        if self._is_root:
            spent_s = min(now - self._called_at, 2.0 * self._interval_s)
            self._due_at = now + max(spent_s, self._interval_s)
        self._called_at = now
        self._belief.record_call(begun_at)
        self._check_lapse()

    def receive(self, sender: str, payload: bytes) -> None:
        """Handles a message of another gateway.

        Args:
            sender: The gateway's name.
            payload: The message.
        """
        try:
            message = _codec.decode_message(payload)
        except errors.Error as reason:
            if self._may_log():
                _LOG.warning("peers: datagram ignored: %s", reason)
            return
        match message:
            case _codec.VersionQuestion(number=number):
                self._answer(sender, number)
            case _codec.VersionAnswer(number=number):
                self._questions.receive(sender, str(number), message)

    def _answer(self, sender: str, number: int) -> None:
        version = self._belief.version
        if version is None:
            return
        answer = _codec.VersionAnswer(
            number=number,
            version=version,
            age_s=self._belief.measure_age_s(),
            next_s=max(0.0, self._due_at - self._now()),
        )
        self._messenger.send([sender], _codec.encode_message(answer))

    async def _run(self) -> None:
        while True:
            pause_s = self._interval_s
            try:
                if self._is_needed():
                    pause_s = await self._confirm()
                    self._check_lapse()
            except defer.CancelledError:
                raise
            except Exception:
                # Without another try, all keys would be refused for good.
                _LOG.exception("keys: an error kept them from confirmation.")
            if not self._is_root:
                self._due_at = self._now() + pause_s
            await task.deferLater(self._reactor, pause_s)

    async def _confirm(self) -> float:
        """Has the belief confirmed.

        Returns:
            The time until it should be confirmed again, in seconds.
        """
        others = self._list_others()
        parent = _tree.find_parent(self._name, others)
        self._is_root = parent is None
        if self._is_root and not self._is_watcher():
            self._read_store()
        if self._is_root and self._is_calm(self._belief.measure_age_s()):
            return self._interval_s
        if others and (self._is_root or self._has_failed):
            # Neither the store nor those near to it are of help.
            parent = self._generator.choice(others)
        answer = None if parent is None else await self._ask(parent)
        self._has_failed = answer is None
        self._call_if_old()
        return self._choose_pause_s(answer)

    def _call_if_old(self) -> None:
        share = self._generator.uniform(*_CALL_AGE_SHARES)
        if self._belief.measure_age_s() > share * self._interval_s:
            self._read_store()

    def _choose_pause_s(self, answer: _codec.VersionAnswer | None) -> float:
        """Returns the time until the next question, in seconds."""
        if answer is None:
            return _RETRY_SHARE * self._interval_s
        due_s = answer.next_s + _FOLLOW_DELAY_S
        least_s = _MIN_PAUSE_SHARE * self._interval_s
        return min(max(due_s, least_s), self._interval_s)

    def _is_calm(self, age_s: float) -> bool:
        return age_s <= _CALM_AGE_SHARE * self._interval_s

    def _list_others(self) -> list[str]:
        """Returns the gateways that may be asked, sorted."""
        now = self._now()
        self._avoided = {
            name: until for name, until in self._avoided.items() if until > now
        }
        return sorted(set(self.transport.list_live()) - self._avoided.keys())

    async def _ask(self, name: str) -> _codec.VersionAnswer | None:
        """Asks a gateway; returns None if its answer doesn't help."""
        number = secrets.randbits(_NUMBER_BITS)
        question = _codec.VersionQuestion(number=number)
        asked_at = self._read_time_s()
        answers = await self._questions.ask(
            str(number), [name], _codec.encode_message(question)
        )
        answer = answers.get(name)
        outcome = _belief.Outcome.NOTHING
        if answer is not None:
            outcome = self._belief.record_answer(
                version=answer.version,
                age_s=answer.age_s,
                asked_at=asked_at,
                gateway=name,
            )
        if outcome is _belief.Outcome.NEWER:
            self._read_store()
        is_helpful = outcome is _belief.Outcome.CONFIRMED and self._is_calm(
            answer.age_s
        )
        if is_helpful:
            return answer
        self._avoid(name, outcome)
        self._log_unhelpful(name, answer, outcome)
        return None

    def _avoid(self, name: str, outcome: _belief.Outcome) -> None:
        """Asks a gateway that was of no help no more for a while."""
        match outcome:
            case _belief.Outcome.NEWER:
                return
            case _belief.Outcome.CONFIRMED:
                pause_s = _OLD_PAUSE_SHARE * self._interval_s
            case _:
                pause_s = self._max_age_s
        self._avoided[name] = self._now() + pause_s

    def _log_unhelpful(self, name, answer, outcome) -> None:
        if self._may_log():
            _LOG.info(
                "keys: gateway %s doesn't confirm them.",
                name,
                extra={
                    "gateway": name,
                    "outcome": outcome.value if answer else "silent",
                    "version": self._belief.version,
                    "version_there": answer and answer.version,
                    "age_there_s": answer and answer.age_s,
                },
            )

    # The end of the belief.

    def _check_lapse(self) -> None:
        """Notices that the belief has become too old, or is so no more."""
        if self._max_age_s is None:
            return
        remaining_s = self._max_age_s - self.measure_age_s()
        if remaining_s < 0:
            if not self._is_lapsed:
                self._is_lapsed = True
                self._log(
                    "keys: requests with keys are refused; the belief in them "
                    "is too old.",
                    logging.WARNING,
                )
                self._on_lapse()
            return
        if self._is_lapsed:
            self._is_lapsed = False
            self._log("keys: confirmed again.", logging.INFO)
        if self._lapse_call is None or not self._lapse_call.active():
            self._lapse_call = self._reactor.callLater(
                remaining_s + _FOLLOW_DELAY_S, self._check_lapse
            )

    def _log(self, text: str, level: int) -> None:
        newest = self._belief.newest
        _LOG.log(
            level,
            text,
            extra={
                "version": self._belief.version,
                "age_s": round(self._belief.measure_age_s(), 3),
                "confirmed_by": newest and newest.source,
                "gateway": newest and newest.gateway,
            },
        )

    def _is_needed(self) -> bool:
        return self._max_age_s is not None and self._has_keys()

    def _may_log(self) -> bool:
        return self._log_bucket.take(1, self._now())

    def _now(self) -> float:
        return self._reactor.seconds()

    def _log_failure(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "keys: confirming them has failed: %s", reason.getTraceback()
            )
