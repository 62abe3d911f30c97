"""Models an inference engine's memory, prefill, transfer and decode."""

import collections
import dataclasses
import hashlib

_VOCABULARY = (
    "valve gas check house safe flame visit report seal test burner notice "
    "dose margin skin study level trace summary limit"
)
_WORDS = tuple(_VOCABULARY.split())
_BLOCK_CHARS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpeed:
    """Speed and capacity of an engine.

    Attributes:
        slots: Maximum number of requests held at a time.
        pieces: Fixed-size pieces (blocks) of KV-cache memory.
        tokens_per_piece: Tokens that fit into one piece.
        prefill_tokens_per_s: Prompt tokens computed per second.
        step_s: Seconds per decode step, which generates one token for each
            running request.
        link_tokens_per_s: Tokens of KV cache transferred per second.
        prefill_ttl_s: Seconds after which a finished prefill is evicted.
        cache_blocks: Prompt blocks kept in the prefix cache.
    """

    slots: int = 20
    pieces: int = 4096
    tokens_per_piece: int = 16
    prefill_tokens_per_s: float = 8000.0
    step_s: float = 0.02
    link_tokens_per_s: float = 40_000.0
    prefill_ttl_s: float = 0.8
    cache_blocks: int = 4096


class NotAcceptedError(Exception):
    """The engine refuses work without having run any of it.

    Attributes:
        status: The HTTP status of the refusal.
    """

    def __init__(self, *, status: int, detail: str):
        super().__init__(detail)
        self.status = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefillDone:
    """A prefill has finished.

    Attributes:
        work_id: The id of the work.
        computed_tokens: Tokens computed, without those from the prefix
            cache.
    """

    work_id: str
    computed_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Generated:
    """One token of a decode.

    Attributes:
        work_id: The id of the work.
        text: The token's text.
        reason: The finish reason, `stop` or `length`, with the last token,
            else empty.
    """

    work_id: str
    text: str
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evicted:
    """A prefill result was evicted before it was fetched.

    Attributes:
        work_id: The id of the work.
    """

    work_id: str


EngineEvent = PrefillDone | Generated | Evicted


@dataclasses.dataclass(kw_only=True)
class _Prefill:
    work_id: str
    priority: int
    pieces: int
    tokens: int
    computed: int
    done_at: float | None = None
    evict_at: float | None = None
    exported: bool = False


@dataclasses.dataclass(kw_only=True)
class _Sequence:
    work_id: str
    prompt: str
    pieces: int
    token_index: int
    length: int
    reason: str
    running: bool = False


def compute_answer_length(prompt: str, max_tokens: int) -> tuple[int, str]:
    """Returns the length and the finish reason of the answer to a prompt."""
    digest = hashlib.blake2b(prompt.encode(), digest_size=4).digest()
    natural_length = 8 + int.from_bytes(digest, "big") % 57
    if natural_length <= max_tokens:
        return natural_length, "stop"
    return max_tokens, "length"


def generate_token(prompt_digest: bytes, token_index: int) -> str:
    """Returns the token at an index of the answer to a prompt."""
    digest = hashlib.blake2b(
        prompt_digest + token_index.to_bytes(4, "big"), digest_size=2
    ).digest()
    word = _WORDS[int.from_bytes(digest, "big") % len(_WORDS)]
    return word if token_index == 0 else " " + word


def generate_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Returns the tokens of the complete answer to a prompt."""
    digest = _digest_prompt(prompt)
    length, _ = compute_answer_length(prompt, max_tokens)
    return [
        generate_token(digest, token_index) for token_index in range(length)
    ]


def generate_text(prompt: str, max_tokens: int) -> str:
    """Returns the text of the complete answer to a prompt."""
    return "".join(generate_tokens(prompt, max_tokens))


def _digest_prompt(prompt: str) -> bytes:
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


class EngineModel:
    """The state of one engine.

    Args:
        speed: The engine's speed and capacity.
    """

    def __init__(self, *, speed: EngineSpeed | None = None):
        self.speed = speed or EngineSpeed()
        self.computed_tokens = 0
        self.exported_tokens = 0
        self.exported_computed_tokens = 0
        self.generated_tokens = 0
        self.fence = 0
        self._prefills: dict[str, _Prefill] = {}
        self._prefill_queue: list[_Prefill] = []
        self._current_prefill: _Prefill | None = None
        self._sequences: dict[str, _Sequence] = {}
        self._prompt_digests: dict[str, bytes] = {}
        self._prefix_cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._link_free_at = 0.0
        self._next_step_at: float | None = None
        self._now = 0.0

    # Memory.

    def count_used_slots(self) -> int:
        """Returns the number of requests held."""
        return len(self._prefills) + len(self._sequences)

    def count_used_pieces(self) -> int:
        """Returns the number of memory pieces held."""
        held = [*self._prefills.values(), *self._sequences.values()]
        return sum(work.pieces for work in held)

    def list_work(self) -> list[str]:
        """Returns the sorted ids of the work held."""
        return sorted([*self._prefills, *self._sequences])

    def _check_capacity(self, work_id: str, tokens: int) -> int:
        pieces = max(1, -(-tokens // self.speed.tokens_per_piece))
        if work_id in self._prefills or work_id in self._sequences:
            raise NotAcceptedError(status=409, detail=f"{work_id} is held")
        if self.count_used_slots() >= self.speed.slots:
            raise NotAcceptedError(status=429, detail="no free slot")
        if self.count_used_pieces() + pieces > self.speed.pieces:
            raise NotAcceptedError(status=429, detail="no free memory")
        return pieces

    # Prefill.

    def start_prefill(
        self,
        work_id: str,
        *,
        prompt: str,
        tokens: int,
        priority: int,
        now: float,
    ) -> None:
        """Queues a prefill.

        Raises:
            NotAcceptedError: If the work id is in use, or no slot or memory
                is free.
        """
        pieces = self._check_capacity(work_id, tokens)
        computed = self._count_uncached_tokens(prompt, tokens)
        prefill = _Prefill(
            work_id=work_id,
            priority=priority,
            pieces=pieces,
            tokens=tokens,
            computed=computed,
        )
        self._prefills[work_id] = prefill
        self._prefill_queue.append(prefill)
        if self._current_prefill is None:
            self._start_next_prefill(now)

    def _count_uncached_tokens(self, prompt: str, tokens: int) -> int:
        blocks = [
            _digest_prompt(prompt[:end])
            for end in range(_BLOCK_CHARS, len(prompt) + 1, _BLOCK_CHARS)
        ]
        cached = 0
        while cached < len(blocks) and blocks[cached] in self._prefix_cache:
            self._prefix_cache.move_to_end(blocks[cached])
            cached += 1
        for block in blocks[cached:]:
            self._prefix_cache[block] = None
        while len(self._prefix_cache) > self.speed.cache_blocks:
            self._prefix_cache.popitem(last=False)
        share = cached / len(blocks) if blocks else 0.0
        return max(1, round(tokens * (1 - share)))

    def _start_next_prefill(self, now: float) -> None:
        self._current_prefill = None
        if not self._prefill_queue:
            return
        prefill = min(self._prefill_queue, key=lambda queued: queued.priority)
        self._prefill_queue.remove(prefill)
        self._current_prefill = prefill
        prefill.done_at = (
            now + prefill.computed / self.speed.prefill_tokens_per_s
        )

    # Transfer.

    def start_export(self, handle: str, *, now: float) -> float:
        """Starts the transfer of a prefill result over the link.

        Returns:
            The time at which the transfer is complete.

        Raises:
            NotAcceptedError: If the result no longer exists.
        """
        prefill = self._prefills.get(handle)
        if prefill is None or prefill.evict_at is None:
            raise NotAcceptedError(status=404, detail=f"no result {handle}")
        prefill.exported = True
        start = max(now, self._link_free_at)
        done = start + prefill.tokens / self.speed.link_tokens_per_s
        self._link_free_at = done
        return done

    def finish_export(self, handle: str) -> int:
        """Frees a prefill result whose transfer is complete.

        Returns:
            Its size in tokens.

        Raises:
            NotAcceptedError: If the work has been cancelled.
        """
        prefill = self._prefills.pop(handle, None)
        if prefill is None:
            raise NotAcceptedError(status=404, detail=f"no result {handle}")
        self.exported_tokens += prefill.tokens
        self.exported_computed_tokens += prefill.computed
        return prefill.tokens

    # Decode.

    def reserve_import(self, work_id: str, *, tokens: int) -> None:
        """Reserves the memory of a decode before its KV cache arrives.

        Raises:
            NotAcceptedError: If the work id is in use, or no slot or memory
                is free.
        """
        pieces = self._check_capacity(work_id, tokens)
        self._sequences[work_id] = _Sequence(
            work_id=work_id,
            prompt="",
            pieces=pieces,
            token_index=0,
            length=0,
            reason="",
        )

    def start_decode(
        self,
        work_id: str,
        *,
        prompt: str,
        sent: int,
        max_tokens: int,
        now: float,
    ) -> None:
        """Starts a decode whose KV cache has arrived.

        Raises:
            NotAcceptedError: If the work has been cancelled.
        """
        sequence = self._sequences.get(work_id)
        if sequence is None:
            raise NotAcceptedError(status=404, detail=f"no import {work_id}")
        length, reason = compute_answer_length(prompt, max_tokens)
        sequence.prompt = prompt
        sequence.token_index = sent
        sequence.length = length
        sequence.reason = reason
        sequence.running = True
        self._prompt_digests[work_id] = _digest_prompt(prompt)
        if self._next_step_at is None:
            self._next_step_at = now + self.speed.step_s

    def cancel(self, work_id: str, *, now: float) -> None:
        """Cancels some work and frees its memory."""
        self._sequences.pop(work_id, None)
        self._prompt_digests.pop(work_id, None)
        prefill = self._prefills.pop(work_id, None)
        if prefill is None:
            return
        if prefill in self._prefill_queue:
            self._prefill_queue.remove(prefill)
        if prefill is self._current_prefill:
            started_at = prefill.done_at - (
                prefill.computed / self.speed.prefill_tokens_per_s
            )
            share = (now - started_at) / max(1e-9, prefill.done_at - started_at)
            self.computed_tokens += round(prefill.computed * min(1.0, share))
            self._start_next_prefill(now)

    # Time.

    def find_next_time(self) -> float | None:
        """Returns the time of the next event, or None."""
        times = [
            prefill.evict_at
            for prefill in self._prefills.values()
            if prefill.evict_at is not None and not prefill.exported
        ]
        if self._current_prefill is not None:
            times.append(self._current_prefill.done_at)
        if self._next_step_at is not None:
            times.append(self._next_step_at)
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineEvent]:
        """Advances the model to a point in time.

        Args:
            now: The current time in seconds. It must not decrease between
                calls.

        Returns:
            The events up to that time, in order.
        """
        events: list[EngineEvent] = []
        while True:
            at = self.find_next_time()
            if at is None or at > now:
                return events
            events.extend(self._advance_to(at))

    def _advance_to(self, at: float) -> list[EngineEvent]:
        events: list[EngineEvent] = []
        current = self._current_prefill
        if current is not None and current.done_at <= at:
            self.computed_tokens += current.computed
            current.evict_at = at + self.speed.prefill_ttl_s
            events.append(
                PrefillDone(
                    work_id=current.work_id, computed_tokens=current.computed
                )
            )
            self._start_next_prefill(at)
        for prefill in list(self._prefills.values()):
            if (
                prefill.exported
                or prefill.evict_at is None
                or prefill.evict_at > at
            ):
                continue
            del self._prefills[prefill.work_id]
            events.append(Evicted(work_id=prefill.work_id))
        if self._next_step_at is not None and self._next_step_at <= at:
            events.extend(self._run_decode_step(at))
        return events

    def _run_decode_step(self, at: float) -> list[EngineEvent]:
        running = [
            sequence
            for sequence in self._sequences.values()
            if sequence.running
        ]
        events: list[EngineEvent] = []
        for sequence in running:
            text = generate_token(
                self._prompt_digests[sequence.work_id], sequence.token_index
            )
            sequence.token_index += 1
            self.generated_tokens += 1
            reason = (
                sequence.reason
                if sequence.token_index >= sequence.length
                else ""
            )
            events.append(
                Generated(work_id=sequence.work_id, text=text, reason=reason)
            )
            if reason:
                del self._sequences[sequence.work_id]
                del self._prompt_digests[sequence.work_id]
        has_running = any(
            sequence.running for sequence in self._sequences.values()
        )
        self._next_step_at = at + self.speed.step_s if has_running else None
        return events
