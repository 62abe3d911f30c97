"""Models of prefill and decode engines."""

from collections.abc import Callable
import dataclasses

from twisted.internet import defer

from sassafrasstile.simulation import _profiles


class NoCapacityError(Exception):
    """The engine has no capacity; nothing ran."""


class HandleExpiredError(Exception):
    """The handle has expired or was already used; nothing ran."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Handle:
    """A finished prefill.

    Attributes:
        tokens: Length of the prompt.
        expires_at: Time from which the handle can't be used.
    """

    tokens: int
    expires_at: float


@dataclasses.dataclass(kw_only=True, eq=False)
class Hold:
    """KV cache that a decode engine has set aside for one generation.

    Attributes:
        tokens: The KV cache in tokens.
    """

    tokens: int


class PrefillEngine:
    """Prefills one prompt after the other.

    Args:
        reactor: The reactor.
        profile: The engine's speed.
    """

    def __init__(self, *, reactor, profile: _profiles.EngineProfile):
        self._reactor = reactor
        self._profile = profile
        self._free_at = 0.0
        self.is_unresponsive = False
        self.ttl_s = profile.handle_ttl_s
        self.slow_factor = 1.0
        self.prefilled_tokens = 0

    @property
    def tokens_per_s(self) -> float:
        """The speed without a slow spell."""
        return self._profile.prefill_tokens_per_s

    def set_speed(self, speed: float) -> None:
        """Changes the speed by a factor, as a replaced engine does."""
        self._profile = self._profile.scale(speed)

    def prefill(self, tokens: int) -> defer.Deferred:
        """Prefills a prompt; the result is a `Handle`.

        The result never fires while the engine is unresponsive.
        """
        done: defer.Deferred = defer.Deferred()
        if self.is_unresponsive:
            return done
        starts_at = max(self._free_at, self._reactor.seconds())
        taken_s = self.slow_factor * tokens / self.tokens_per_s
        self._free_at = starts_at + taken_s
        self.prefilled_tokens += tokens
        delay_s = self._free_at - self._reactor.seconds()
        self._reactor.callLater(delay_s, self._finish, done, tokens)
        return done

    def _finish(self, done: defer.Deferred, tokens: int) -> None:
        expires_at = self._reactor.seconds() + self.ttl_s
        if not done.called:
            done.callback(Handle(tokens=tokens, expires_at=expires_at))


@dataclasses.dataclass(kw_only=True, eq=False)
class Sequence:
    """A running generation.

    Attributes:
        prompt_tokens: Length of the prompt.
        output_tokens: Number of tokens to generate.
        on_event: Called at each event.
        is_transferring: True while the KV cache is being transferred.
        pending_prefill_tokens: Tokens that the decode engine has yet to
            prefill.
        generated_tokens: Number of tokens generated so far.
        done: Fires with None once the generation has finished.
    """

    prompt_tokens: int
    output_tokens: int
    on_event: Callable[[], None]
    is_transferring: bool = False
    pending_prefill_tokens: int = 0
    generated_tokens: int = 0
    done: defer.Deferred = dataclasses.field(default_factory=defer.Deferred)

    @property
    def memory_tokens(self) -> int:
        """Tokens of KV cache that the generation holds."""
        return self.prompt_tokens + self.generated_tokens

    @property
    def is_generating(self) -> bool:
        """True if each step generates a token of this generation."""
        return not self.is_transferring and not self.pending_prefill_tokens


class DecodeEngine:
    """Generates one token of each running request in each step.

    Args:
        reactor: The reactor.
        profile: The engine's speed and size.
    """

    def __init__(self, *, reactor, profile: _profiles.EngineProfile):
        self._reactor = reactor
        self._profile = profile
        self._running: list[Sequence] = []
        self._preempted: list[Sequence] = []
        self._holds: list[Hold] = []
        self._is_stepping = False
        self._link_free_at = 0.0
        self.link_factor = 1.0
        self.slow_factor = 1.0
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0

    @property
    def step_s(self) -> float:
        """Seconds of a step without requests and without a slow spell."""
        return self._profile.step_s

    @property
    def used_tokens(self) -> int:
        """Tokens of KV cache in use or set aside."""
        running = sum(item.memory_tokens for item in self._running)
        return running + sum(item.tokens for item in self._holds)

    def take_hold(self, tokens: int, ttl_s: float) -> Hold:
        """Sets KV cache aside for one generation.

        Args:
            tokens: The KV cache in tokens.
            ttl_s: Seconds until it is freed if no generation uses it.

        Raises:
            NoCapacityError: The engine has no capacity.
        """
        self._check_capacity(tokens)
        hold = Hold(tokens=tokens)
        self._holds.append(hold)
        self._reactor.callLater(ttl_s, self.drop_hold, hold)
        return hold

    def drop_hold(self, hold: Hold) -> None:
        """Frees KV cache that was set aside and not used."""
        if hold in self._holds:
            self._holds.remove(hold)

    def _check_capacity(self, tokens: int) -> None:
        held = len(self._running) + len(self._preempted) + len(self._holds)
        used = self.used_tokens + tokens
        if held >= self._profile.slots or used > self._profile.memory_tokens:
            raise NoCapacityError

    def run(
        self,
        sequence: Sequence,
        handle: Handle | None,
        hold: Hold | None = None,
    ) -> None:
        """Starts a generation.

        Args:
            sequence: The generation.
            handle: The handle of a remote prefill, or None to prefill locally.
            hold: KV cache that was set aside for it, or None.

        Raises:
            NoCapacityError: The engine has no capacity.
            HandleExpiredError: The handle has expired or was already used.
        """
        now = self._reactor.seconds()
        if hold in self._holds:
            self._holds.remove(hold)
        else:
            self._check_capacity(sequence.prompt_tokens)
        if handle is None:
            sequence.pending_prefill_tokens = sequence.prompt_tokens
            self._start(sequence)
            return
        if now >= handle.expires_at:
            raise HandleExpiredError
        handle.expires_at = now
        self._running.append(sequence)
        sequence.is_transferring = True
        self._link_free_at = max(now, self._link_free_at) + (
            self.link_factor * handle.tokens / self._profile.link_tokens_per_s
        )
        self._reactor.callLater(
            self._link_free_at - now, self._finish_transfer, sequence
        )

    def _finish_transfer(self, sequence: Sequence) -> None:
        sequence.is_transferring = False
        if sequence in self._running:
            self._ensure_stepping()

    def _start(self, sequence: Sequence) -> None:
        self._running.append(sequence)
        self._ensure_stepping()

    def cancel(self, sequence: Sequence) -> None:
        """Stops a generation, unless it has ended."""
        for items in (self._running, self._preempted):
            if sequence in items:
                items.remove(sequence)

    def _ensure_stepping(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._reactor.callLater(self._compute_step_s(), self._step)

    def _compute_step_s(self) -> float:
        """Returns the seconds of the next step, local prefill included."""
        profile = self._profile
        step_s = profile.step_s + profile.step_request_s * len(self._running)
        prefilling = self._find_prefilling()
        if prefilling is not None:
            chunk_tokens = min(
                profile.local_prefill_chunk_tokens,
                prefilling.pending_prefill_tokens,
            )
            step_s += chunk_tokens / profile.local_prefill_tokens_per_s
        return self.slow_factor * step_s

    def _find_prefilling(self) -> Sequence | None:
        for item in self._running:
            if item.pending_prefill_tokens > 0:
                return item
        return None

    def _step(self) -> None:
        self._is_stepping = False
        prefilling = self._find_prefilling()
        for item in list(self._running):
            if item.is_generating:
                self._generate_token(item)
        if prefilling is not None and prefilling in self._running:
            chunk_tokens = min(
                self._profile.local_prefill_chunk_tokens,
                prefilling.pending_prefill_tokens,
            )
            prefilling.pending_prefill_tokens -= chunk_tokens
            self.prefilled_tokens += chunk_tokens
        self._preempt()
        if any(not item.is_transferring for item in self._running):
            self._ensure_stepping()

    def _generate_token(self, item: Sequence) -> None:
        item.generated_tokens += 1
        is_last = item.generated_tokens >= item.output_tokens
        if (
            is_last
            or not item.generated_tokens % self._profile.tokens_per_event
        ):
            item.on_event()
        if is_last:
            self._running.remove(item)
            if not item.done.called:
                item.done.callback(None)

    def _preempt(self) -> None:
        """Preempts the newest while memory is short; restarts the oldest."""
        while self._running and self.used_tokens > self._profile.memory_tokens:
            newest = self._running.pop()
            newest.pending_prefill_tokens = newest.memory_tokens
            self.recomputed_tokens += newest.memory_tokens
            self._preempted.append(newest)
        while self._preempted:
            oldest = self._preempted[0]
            used = self.used_tokens + oldest.memory_tokens
            if used > self._profile.memory_tokens:
                return
            self._running.append(self._preempted.pop(0))
