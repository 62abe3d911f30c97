"""A model engine without I/O: memory, prefill, transfer and decode in time."""

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
    """How fast an engine is and how much it holds.

    Attributes:
        slots: Requests at the most.
        pieces: Fixed-size pieces of memory.
        tokens_per_piece: Tokens that fit into one piece.
        prefill_tokens_per_s: Prompt tokens computed a second.
        step_s: Seconds for one token of each running request.
        link_tokens_per_s: Tokens of KV cache that the link carries a second.
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
    """The engine refuses work; nothing of it has run.

    Attributes:
        status: The HTTP status of the refusal.
    """

    def __init__(self, *, status: int, detail: str):
        super().__init__(detail)
        self.status = status


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefillDone:
    """A prefill is done.

    Attributes:
        work_id: The work.
        computed_tokens: Tokens computed, those from the cache not counted.
    """

    work_id: str
    computed_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Generated:
    """One token of a decode.

    Attributes:
        work_id: The work.
        text: The token's text.
        reason: `stop` or `length` with the last token, else empty.
    """

    work_id: str
    text: str
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evicted:
    """A prefill result was evicted before anyone fetched it.

    Attributes:
        work_id: The work.
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
    index: int
    last: int
    reason: str
    running: bool = False


def measure_answer(prompt: str, max_tokens: int) -> tuple[int, str]:
    """Returns the length and the finish reason of the answer to a prompt."""
    digest = hashlib.blake2b(prompt.encode(), digest_size=4).digest()
    natural = 8 + int.from_bytes(digest, "big") % 57
    if natural <= max_tokens:
        return natural, "stop"
    return max_tokens, "length"


def generate_token(prompt_digest: bytes, index: int) -> str:
    """Returns one token of the answer to a prompt."""
    digest = hashlib.blake2b(
        prompt_digest + index.to_bytes(4, "big"), digest_size=2
    ).digest()
    word = _WORDS[int.from_bytes(digest, "big") % len(_WORDS)]
    return word if index == 0 else " " + word


def generate_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Returns the tokens of the whole answer to a prompt."""
    digest = _digest_prompt(prompt)
    length, _ = measure_answer(prompt, max_tokens)
    return [generate_token(digest, index) for index in range(length)]


def generate_text(prompt: str, max_tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    return "".join(generate_tokens(prompt, max_tokens))


def _digest_prompt(prompt: str) -> bytes:
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


class EngineModel:
    """The state of one engine.

    Args:
        speed: Its speed and size.
    """

    def __init__(self, *, speed: EngineSpeed | None = None):
        self.speed = speed or EngineSpeed()
        self.computed_tokens = 0
        self.exported_tokens = 0
        self.exported_computed_tokens = 0
        self.generated_tokens = 0
        self.fence = 0
        self._prefills: dict[str, _Prefill] = {}
        self._queue: list[_Prefill] = []
        self._current: _Prefill | None = None
        self._sequences: dict[str, _Sequence] = {}
        self._digests: dict[str, bytes] = {}
        self._cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._link_free_at = 0.0
        self._next_step_at: float | None = None
        self._now = 0.0

    # Memory.

    def count_slots(self) -> int:
        """Returns the requests held."""
        return len(self._prefills) + len(self._sequences)

    def count_pieces(self) -> int:
        """Returns the pieces of memory held."""
        held = [*self._prefills.values(), *self._sequences.values()]
        return sum(item.pieces for item in held)

    def list_work(self) -> list[str]:
        """Returns the work held, sorted."""
        return sorted([*self._prefills, *self._sequences])

    def _take_pieces(self, work_id: str, tokens: int) -> int:
        pieces = max(1, -(-tokens // self.speed.tokens_per_piece))
        if work_id in self._prefills or work_id in self._sequences:
            raise NotAcceptedError(status=409, detail=f"{work_id} is held")
        if self.count_slots() >= self.speed.slots:
            raise NotAcceptedError(status=429, detail="no free slot")
        if self.count_pieces() + pieces > self.speed.pieces:
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
            NotAcceptedError: When there is no memory.
        """
        pieces = self._take_pieces(work_id, tokens)
        computed = self._count_uncached(prompt, tokens)
        item = _Prefill(
            work_id=work_id,
            priority=priority,
            pieces=pieces,
            tokens=tokens,
            computed=computed,
        )
        self._prefills[work_id] = item
        self._queue.append(item)
        if self._current is None:
            self._start_next_prefill(now)

    def _count_uncached(self, prompt: str, tokens: int) -> int:
        blocks = [
            _digest_prompt(prompt[:end])
            for end in range(_BLOCK_CHARS, len(prompt) + 1, _BLOCK_CHARS)
        ]
        cached = 0
        while cached < len(blocks) and blocks[cached] in self._cache:
            self._cache.move_to_end(blocks[cached])
            cached += 1
        for block in blocks[cached:]:
            self._cache[block] = None
        while len(self._cache) > self.speed.cache_blocks:
            self._cache.popitem(last=False)
        share = cached / len(blocks) if blocks else 0.0
        return max(1, round(tokens * (1 - share)))

    def _start_next_prefill(self, now: float) -> None:
        self._current = None
        if not self._queue:
            return
        item = min(self._queue, key=lambda queued: queued.priority)
        self._queue.remove(item)
        self._current = item
        item.done_at = now + item.computed / self.speed.prefill_tokens_per_s

    # Transfer.

    def start_export(self, handle: str, *, now: float) -> float:
        """Starts to send a prefill result over the link.

        Returns:
            The time at which all of it has arrived.

        Raises:
            NotAcceptedError: When the result isn't there any more.
        """
        item = self._prefills.get(handle)
        if item is None or item.evict_at is None:
            raise NotAcceptedError(status=404, detail=f"no result {handle}")
        item.exported = True
        start = max(now, self._link_free_at)
        done = start + item.tokens / self.speed.link_tokens_per_s
        self._link_free_at = done
        return done

    def finish_export(self, handle: str) -> int:
        """Frees a prefill result that has arrived elsewhere.

        Returns:
            Its size in tokens.

        Raises:
            NotAcceptedError: When it was cancelled meanwhile.
        """
        item = self._prefills.pop(handle, None)
        if item is None:
            raise NotAcceptedError(status=404, detail=f"no result {handle}")
        self.exported_tokens += item.tokens
        self.exported_computed_tokens += item.computed
        return item.tokens

    # Decode.

    def reserve_import(self, work_id: str, *, tokens: int) -> None:
        """Takes the memory of a decode while its KV cache arrives.

        Raises:
            NotAcceptedError: When there is no memory.
        """
        pieces = self._take_pieces(work_id, tokens)
        self._sequences[work_id] = _Sequence(
            work_id=work_id,
            prompt="",
            pieces=pieces,
            index=0,
            last=0,
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
            NotAcceptedError: When it was cancelled meanwhile.
        """
        item = self._sequences.get(work_id)
        if item is None:
            raise NotAcceptedError(status=404, detail=f"no import {work_id}")
        length, reason = measure_answer(prompt, max_tokens)
        item.prompt = prompt
        item.index = sent
        item.last = length
        item.reason = reason
        item.running = True
        self._digests[work_id] = _digest_prompt(prompt)
        if self._next_step_at is None:
            self._next_step_at = now + self.speed.step_s

    def cancel(self, work_id: str, *, now: float) -> None:
        """Frees whatever some work holds."""
        self._sequences.pop(work_id, None)
        self._digests.pop(work_id, None)
        item = self._prefills.pop(work_id, None)
        if item is None:
            return
        if item in self._queue:
            self._queue.remove(item)
        if item is self._current:
            begun_at = item.done_at - (
                item.computed / self.speed.prefill_tokens_per_s
            )
            share = (now - begun_at) / max(1e-9, item.done_at - begun_at)
            self.computed_tokens += round(item.computed * min(1.0, share))
            self._start_next_prefill(now)

    # Time.

    def find_next_time(self) -> float | None:
        """Returns the time of the next event, or None."""
        times = [
            item.evict_at
            for item in self._prefills.values()
            if item.evict_at is not None and not item.exported
        ]
        if self._current is not None:
            times.append(self._current.done_at)
        if self._next_step_at is not None:
            times.append(self._next_step_at)
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineEvent]:
        """Lets time pass.

        Args:
            now: The time now, in seconds, not before the last call's.

        Returns:
            What has happened, in order.
        """
        events: list[EngineEvent] = []
        while True:
            at = self.find_next_time()
            if at is None or at > now:
                return events
            events.extend(self._advance_to(at))

    def _advance_to(self, at: float) -> list[EngineEvent]:
        events: list[EngineEvent] = []
        current = self._current
        if current is not None and current.done_at <= at:
            self.computed_tokens += current.computed
            current.evict_at = at + self.speed.prefill_ttl_s
            events.append(
                PrefillDone(
                    work_id=current.work_id, computed_tokens=current.computed
                )
            )
            self._start_next_prefill(at)
        for item in list(self._prefills.values()):
            if item.exported or item.evict_at is None or item.evict_at > at:
                continue
            del self._prefills[item.work_id]
            events.append(Evicted(work_id=item.work_id))
        if self._next_step_at is not None and self._next_step_at <= at:
            events.extend(self._step(at))
        return events

    def _step(self, at: float) -> list[EngineEvent]:
        running = [item for item in self._sequences.values() if item.running]
        events: list[EngineEvent] = []
        for item in running:
            text = generate_token(self._digests[item.work_id], item.index)
            item.index += 1
            self.generated_tokens += 1
            reason = item.reason if item.index >= item.last else ""
            events.append(
                Generated(work_id=item.work_id, text=text, reason=reason)
            )
            if reason:
                del self._sequences[item.work_id]
                del self._digests[item.work_id]
        still = any(item.running for item in self._sequences.values())
        self._next_step_at = at + self.speed.step_s if still else None
        return events
