"""Finds what the prompts at several crashes have in common."""

import collections
from collections.abc import Iterable
import dataclasses

from sassafrasstile.quarantine import _base

# Other failures, too, take engines away while they begin an answer. So parts
# count as deadly only after this many crashes
_MIN_CRASHES = 3
# under this many different prompts.
_MIN_PROMPTS = 2
# A prompt that was at this many crashes isn't sent again.
_MAX_CRASHES_OF_PROMPT = 2
# Prompts are refused for this long after the last crash under them. Then they
# are let through; one more crash is enough to refuse them again
REFUSAL_S = 300.0
# for as long as the earlier ones are remembered.
MEMORY_S = 900.0
# A prompt that is refused for itself, and not for its parts, is let through
# after this time. Its caller has given up by then.
PROMPT_REFUSAL_S = 60.0
_MAX_CRASHES = 64
_MAX_SUSPECTS = 16
_MAX_SOUND_PARTS = 4096
# A part that was answered longer ago isn't known to be sound: the engines may
# run another software version since.
SOUND_S = 60.0


@dataclasses.dataclass(kw_only=True)
class _Entry:
    """A crash that is remembered.

    Attributes:
        at: When the engine was lost, in seconds.
        suspects: The prompts that it had not begun to answer.
    """

    at: float
    suspects: set[_base.Prompt]


@dataclasses.dataclass(kw_only=True)
class _Candidate:
    """A part that may be deadly.

    Attributes:
        engines: The engines that were lost under it.
        prompts: The prompts that had it there.
        companions: The parts that all these prompts have, itself included.
    """

    engines: set[str]
    prompts: set[str]
    companions: frozenset[str]

    @property
    def is_eligible(self) -> bool:
        """True if it was at enough crashes."""
        return (
            len(self.engines) >= _MIN_CRASHES
            and len(self.prompts) >= _MIN_PROMPTS
        )


class CrashLog:
    """Remembers crashes, and decides which prompts not to send again.

    A single crash proves nothing: engines are lost for other reasons, and other
    prompts were there. A part that an engine has answered is sound. What
    remains are the parts that several crashes have in common. Prompts are
    refused only if they have all parts that the prompts at these crashes have
    in common, so that as few others as possible are concerned.

    >>> log = CrashLog()
    >>> for number in range(3):
    ...     prompt = _base.Prompt.make("s", ("system", "bad", f"own {number}"))
    ...     _ = log.add(f"engine {number}", {prompt}, at=1.0, now=1.0)
    >>> _ = log.record_sound([_base.make_key("s", "system")], now=3.0)
    >>> log.find(_base.Prompt.make("s", ("other", "bad", "x")), 3.0).crashes
    3
    >>> log.find(_base.Prompt.make("s", ("system", "good", "y")), 3.0)
    """

    def __init__(self):
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        self._sound: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._suspicions: tuple[_base.Suspicion, ...] | None = None

    @property
    def is_empty(self) -> bool:
        """True if no crash is remembered."""
        return not self._entries

    def add(
        self,
        engine: str,
        suspects: Iterable[_base.Prompt],
        *,
        at: float,
        now: float,
    ) -> bool:
        """Adds prompts that an engine had not begun to answer when it was lost.

        Args:
            engine: The key of the engine's incarnation.
            suspects: The prompts.
            at: When it was lost, in seconds.
            now: The time in seconds.

        Returns:
            True if anything wasn't known before.
        """
        entry = self._entries.get(engine)
        if entry is None:
            entry = _Entry(at=at, suspects=set())
        # The first gateway that notices is closest to the truth.
        entry.at = min(entry.at, at)
        room = _MAX_SUSPECTS - len(entry.suspects)
        stripped = {
            self._strip(prompt, now) for prompt in suspects if prompt.own
        }
        known = {prompt.own for prompt in entry.suspects}
        new = [prompt for prompt in stripped if prompt.own not in known][:room]
        if not new:
            return False
        entry.suspects.update(new)
        self._entries[engine] = entry
        while len(self._entries) > _MAX_CRASHES:
            self._entries.popitem(last=False)
        self._suspicions = None
        return True

    def record_sound(self, parts: Iterable[str], *, now: float) -> list[str]:
        """Records that an engine has answered prompts with these parts.

        Args:
            parts: The keys of the parts.
            now: The time in seconds.

        Returns:
            Those that were suspected of a crash until now.
        """
        self._forget_old(now)
        suspected = self._list_suspected()
        cleared = []
        for part in parts:
            self._sound[part] = now
            self._sound.move_to_end(part)
            if part in suspected:
                cleared.append(part)
        while len(self._sound) > _MAX_SOUND_PARTS:
            self._sound.popitem(last=False)
        if cleared:
            self._strip_entries(now)
        return cleared

    def record_answered(self, prompt: _base.Prompt) -> None:
        """Records that an engine has answered a prompt; it is no suspect."""
        for entry in self._entries.values():
            remaining = {
                item for item in entry.suspects if item.own != prompt.own
            }
            if len(remaining) != len(entry.suspects):
                entry.suspects = remaining
                self._suspicions = None

    def find_sound(
        self, prompts: Iterable[_base.Prompt], now: float
    ) -> list[str]:
        """Returns the shared parts of prompts that are known to be sound."""
        parts = {part for prompt in prompts for part in prompt.shared}
        return sorted(part for part in parts if self._is_sound(part, now))

    def find(self, prompt: _base.Prompt, now: float) -> _base.Suspicion | None:
        """Returns why a prompt is refused, or None if it isn't."""
        self._forget_old(now)
        for suspicion in self._list_suspicions():
            is_itself = prompt.own in suspicion.parts
            if now < suspicion.until and (
                is_itself or suspicion.parts <= prompt.shared
            ):
                return suspicion
        return None

    def list_active(self, now: float) -> list[_base.Suspicion]:
        """Returns the suspicions for which prompts are refused now."""
        self._forget_old(now)
        return [item for item in self._list_suspicions() if now < item.until]

    def list_crashes(self, now: float) -> list[_base.Crash]:
        """Returns the crashes, the newest first."""
        self._forget_old(now)
        crashes = [
            _base.Crash(
                engine=engine,
                age_s=max(0.0, now - entry.at),
                suspects=frozenset(entry.suspects),
            )
            for engine, entry in self._entries.items()
            if entry.suspects
        ]
        return sorted(crashes, key=lambda crash: crash.age_s)

    def _is_sound(self, part: str, now: float) -> bool:
        return now - self._sound.get(part, float("-inf")) < SOUND_S

    def _strip(self, prompt: _base.Prompt, now: float) -> _base.Prompt:
        """Returns a prompt without the parts that are known to be sound."""
        shared = frozenset(
            part for part in prompt.shared if not self._is_sound(part, now)
        )
        return dataclasses.replace(prompt, shared=shared)

    def _strip_entries(self, now: float) -> None:
        for entry in self._entries.values():
            entry.suspects = {
                self._strip(prompt, now) for prompt in entry.suspects
            }
        self._suspicions = None

    def _list_suspected(self) -> set[str]:
        return {
            part
            for entry in self._entries.values()
            for prompt in entry.suspects
            for part in prompt.shared
        }

    def _forget_old(self, now: float) -> None:
        old = [
            engine
            for engine, entry in self._entries.items()
            if now - entry.at >= MEMORY_S
        ]
        for engine in old:
            del self._entries[engine]
            self._suspicions = None

    def _list_suspicions(self) -> tuple[_base.Suspicion, ...]:
        if self._suspicions is None:
            self._suspicions = (*self._find_prompts(), *self._find_parts())
        return self._suspicions

    def _find_prompts(self) -> list[_base.Suspicion]:
        """Returns a suspicion for each prompt that was at several crashes."""
        ends: dict[str, list[float]] = {}
        for entry in self._entries.values():
            for own in {prompt.own for prompt in entry.suspects}:
                ends.setdefault(own, []).append(entry.at)
        return [
            _base.Suspicion(
                parts=frozenset((own,)),
                crashes=len(times),
                until=max(times) + PROMPT_REFUSAL_S,
            )
            for own, times in ends.items()
            if len(times) >= _MAX_CRASHES_OF_PROMPT
        ]

    def _find_parts(self) -> list[_base.Suspicion]:
        """Returns a suspicion for each set of parts common to crashes.

        A crash that one set explains doesn't count for another. The larger sets
        come first, since fewer prompts have them.
        """
        unexplained = dict(self._entries)
        found = []
        while eligible := _list_candidates(unexplained):
            parts = max(
                (item.companions for item in eligible),
                key=lambda parts: (len(parts), sorted(parts)),
            )
            explained = [
                engine
                for engine, entry in unexplained.items()
                if any(parts <= prompt.shared for prompt in entry.suspects)
            ]
            times = [unexplained.pop(engine).at for engine in explained]
            found.append(
                _base.Suspicion(
                    parts=parts,
                    crashes=len(times),
                    until=max(times) + REFUSAL_S,
                )
            )
        return found


def _list_candidates(entries: dict[str, _Entry]) -> list[_Candidate]:
    """Returns the parts that are at enough of the crashes."""
    candidates: dict[str, _Candidate] = {}
    for engine, entry in entries.items():
        for prompt in entry.suspects:
            for part in prompt.shared:
                candidate = candidates.get(part)
                if candidate is None:
                    candidate = candidates[part] = _Candidate(
                        engines=set(), prompts=set(), companions=prompt.shared
                    )
                candidate.engines.add(engine)
                candidate.prompts.add(prompt.own)
                candidate.companions &= prompt.shared
    return [item for item in candidates.values() if item.is_eligible]
