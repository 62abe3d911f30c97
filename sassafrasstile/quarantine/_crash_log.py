"""Remembers crashes, and decides which requests not to send again."""

import collections
from collections.abc import Iterable
import dataclasses

from sassafrasstile.quarantine import _base
from sassafrasstile.quarantine import _common_parts

# Requests are refused for this long after the last crash under them.
REFUSAL_S = 300.0
# Crashes are remembered for longer, so that one more is enough then.
MEMORY_S = 900.0
# A request that was itself at this many crashes isn't sent again for a while.
_CRASHES_TO_REFUSE_REPEAT = 2
# Its caller has given up by the end of this time.
REPEAT_REFUSAL_S = 60.0
# After this many it comes again and again.
_CRASHES_TO_REFUSE_LONGER = 3
# An answer speaks for the parts of its content at crashes up to this much
# later; after that the endpoints may run another software version.
ANSWER_VALIDITY_S = 60.0
# Losses of an engine that are further apart than this are different crashes.
# While the store is away, a new start of an engine isn't known.
_SAME_CRASH_S = 0.3
_MAX_REMEMBERED = 64
_MAX_SUSPECTS = 256
_MAX_SUSPECTS_OF_CRASH = 64
_MAX_ANSWERED = 4096


class _AnswerTimes:
    """When parts or contents were last answered, for the latest ones."""

    def __init__(self):
        self._times: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, key: str, now: float) -> None:
        self._times[key] = now
        self._times.move_to_end(key)
        if len(self._times) > _MAX_ANSWERED:
            self._times.popitem(last=False)

    def is_cleared(self, key: str, at: float) -> bool:
        """Returns whether a key was answered about or after a time."""
        return self._times.get(key, float("-inf")) > at - ANSWER_VALIDITY_S


@dataclasses.dataclass(kw_only=True)
class _Entry:
    """A crash that is remembered.

    Attributes:
        engine: The key of the engine's incarnation.
        at: When the engine was lost, in seconds.
        suspects: The parts of each content that may have caused it, by its
            identity.
        answered: The identities of those that haven't.
    """

    engine: str
    at: float
    suspects: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    answered: set[str] = dataclasses.field(default_factory=set)


class CrashLog:
    """Remembers crashes, and decides which requests not to send again.

    A single crash proves nothing: endpoints are lost for other reasons, and
    other requests were there. What an endpoint has answered about that time or
    later didn't cause it. What remains are the contents and parts that several
    crashes have in common.

    What is known of a crash only ever shrinks: parts and contents leave the
    suspicion and don't return. So gateways that tell each other what they know
    come to the same result, in whatever order they hear it.

    >>> log = CrashLog()
    >>> for number in range(3):
    ...     prompt = _base.make_prompt("s", ("system", "bad", f"own {number}"))
    ...     crash = _base.Crash(
    ...         engine=f"e{number}", age_s=0.0, suspects=frozenset((prompt,)))
    ...     _ = log.add(crash, now=float(number))
    >>> answered = _base.make_prompt("s", ("system", "good", "x"))
    >>> len(log.record_answer(answered, now=3.0))
    3
    >>> refused = _base.make_prompt("s", ("other", "bad", "y"))
    >>> len(log.find(refused, 3.0).crashes)
    3
    >>> log.find(answered, 3.0)
    """

    def __init__(self):
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        self._answered_parts = _AnswerTimes()
        self._answered_contents = _AnswerTimes()
        self._suspicions: tuple[_base.Suspicion, ...] | None = None
        self._added = 0

    @property
    def is_empty(self) -> bool:
        """True if no crash is remembered."""
        return not self._entries

    def add(self, crash: _base.Crash, *, now: float) -> bool:
        """Adds what is known of a crash.

        Args:
            crash: The crash.
            now: The time in seconds.

        Returns:
            True if anything wasn't known before.
        """
        at = now - crash.age_s
        entry = self._find_entry(crash.engine, at)
        if entry is None:
            entry = _Entry(engine=crash.engine, at=at)
            self._added += 1
            self._entries[f"{crash.engine}#{self._added}"] = entry
        # The first gateway that notices is closest to the truth.
        entry.at = min(entry.at, at)
        is_new = self._mark_answered(entry, crash.answered)
        for content in crash.suspects:
            is_new |= self._add_suspect(entry, content)
        if is_new:
            self._limit()
            self._suspicions = None
        return is_new

    def record_answer(
        self, content: _base.Content, *, now: float
    ) -> list[_base.Crash]:
        """Records that an endpoint has answered a request.

        Args:
            content: What identifies its content.
            now: The time in seconds.

        Returns:
            The crashes at which it, or a part of it, was suspected.
        """
        if content.identity:
            self._answered_contents.record(content.identity, now)
        for part in content.shared:
            self._answered_parts.record(part, now)
        changed = [
            entry
            for entry in self._entries.values()
            if self._clear(entry, content)
        ]
        if changed:
            self._suspicions = None
        return [self._describe(entry, now) for entry in changed]

    def describe(self, crash: _base.Crash, now: float) -> _base.Crash | None:
        """Returns what is known here of a crash, or None."""
        entry = self._find_entry(crash.engine, now - crash.age_s)
        return None if entry is None else self._describe(entry, now)

    def _find_entry(self, engine: str, at: float) -> _Entry | None:
        """Returns the crash of an engine at about a time, or None."""
        for entry in self._entries.values():
            is_same_time = abs(entry.at - at) <= _SAME_CRASH_S
            if entry.engine == engine and is_same_time:
                return entry
        return None

    @staticmethod
    def _describe(entry: _Entry, now: float) -> _base.Crash:
        return _base.Crash(
            engine=entry.engine,
            age_s=max(0.0, now - entry.at),
            suspects=frozenset(
                _base.Content(identity=identity, shared=parts)
                for identity, parts in entry.suspects.items()
            ),
            answered=frozenset(entry.answered),
        )

    def list_relevant(self, now: float) -> list[_base.Crash]:
        """Returns the crashes that matter to decisions, the newest first.

        Those are the ones under suspicions and those of the last minute.
        """
        self._forget_old(now)
        suspicious = {
            key for item in self.list_active(now) for key in item.crashes
        }
        crashes = [
            self._describe(entry, now)
            for key, entry in self._entries.items()
            if key in suspicious or now - entry.at < REPEAT_REFUSAL_S
        ]
        return sorted(crashes, key=lambda crash: crash.age_s)

    def find(
        self, content: _base.Content, now: float
    ) -> _base.Suspicion | None:
        """Returns why a request is refused, or None if it isn't."""
        for suspicion in self._list_suspicions(now):
            if now < suspicion.until and suspicion.concerns(content):
                return suspicion
        return None

    def list_active(self, now: float) -> list[_base.Suspicion]:
        """Returns the suspicions for which requests are refused now."""
        return [item for item in self._list_suspicions(now) if now < item.until]

    def _add_suspect(self, entry: _Entry, content: _base.Content) -> bool:
        """Adds a suspect of a crash, or removes parts that are cleared."""
        identity = content.identity
        if not identity or identity in entry.answered:
            return False
        if self._answered_contents.is_cleared(identity, entry.at):
            return self._mark_answered(entry, frozenset((identity,)))
        known = entry.suspects.get(identity)
        if known is None and len(entry.suspects) >= _MAX_SUSPECTS_OF_CRASH:
            return False
        parts = frozenset(
            part
            for part in content.shared
            if not self._answered_parts.is_cleared(part, entry.at)
        )
        if known is not None:
            parts &= known
        entry.suspects[identity] = parts
        return parts != known

    @staticmethod
    def _mark_answered(entry: _Entry, identities: frozenset[str]) -> bool:
        room = _MAX_SUSPECTS_OF_CRASH - len(entry.answered)
        new = list(identities - entry.answered)[:room]
        entry.answered.update(new)
        for identity in new:
            entry.suspects.pop(identity, None)
        return bool(new)

    def _clear(self, entry: _Entry, content: _base.Content) -> bool:
        """Clears a content and its parts of a crash; returns a change."""
        is_changed = False
        if content.identity in entry.suspects:
            is_changed = self._mark_answered(
                entry, frozenset((content.identity,))
            )
        for identity, parts in list(entry.suspects.items()):
            if parts & content.shared:
                entry.suspects[identity] = parts - content.shared
                is_changed = True
        return is_changed

    def _limit(self) -> None:
        """Forgets the crashes that were added first where there are many."""
        total = sum(len(entry.suspects) for entry in self._entries.values())
        while len(self._entries) > _MAX_REMEMBERED or total > _MAX_SUSPECTS:
            _, entry = self._entries.popitem(last=False)
            total -= len(entry.suspects)

    def _forget_old(self, now: float) -> None:
        old = [
            key
            for key, entry in self._entries.items()
            if now - entry.at >= MEMORY_S
        ]
        for key in old:
            del self._entries[key]
            self._suspicions = None

    def _list_suspicions(self, now: float) -> tuple[_base.Suspicion, ...]:
        self._forget_old(now)
        if self._suspicions is None:
            self._suspicions = (
                *self._suspect_repeats(),
                *self._suspect_parts(),
            )
        return self._suspicions

    def _suspect_repeats(self) -> list[_base.Suspicion]:
        """Returns a suspicion for each content that was at several crashes."""
        crashes: dict[str, set[str]] = {}
        for key, entry in self._entries.items():
            for identity in entry.suspects:
                crashes.setdefault(identity, set()).add(key)
        return [
            _base.Suspicion(
                identity=identity,
                crashes=frozenset(keys),
                until=self._find_last(keys) + _choose_refusal_s(len(keys)),
            )
            for identity, keys in crashes.items()
            if len(keys) >= _CRASHES_TO_REFUSE_REPEAT
        ]

    def _suspect_parts(self) -> list[_base.Suspicion]:
        """Returns a suspicion for each set of parts common to crashes."""
        losses = {
            key: _common_parts.Loss(at=entry.at, suspects=entry.suspects)
            for key, entry in self._entries.items()
        }
        return [
            _base.Suspicion(
                parts=item.parts,
                crashes=item.crashes,
                until=self._find_last(item.crashes) + REFUSAL_S,
            )
            for item in _common_parts.find_common_parts(losses)
        ]

    def _find_last(self, keys: Iterable[str]) -> float:
        return max(self._entries[key].at for key in keys)


def _choose_refusal_s(crashes: int) -> float:
    """Returns for how long a content that was at crashes is refused."""
    if crashes >= _CRASHES_TO_REFUSE_LONGER:
        return REFUSAL_S
    return REPEAT_REFUSAL_S
