"""Finds the parts that the prompts at several crashes have in common."""

from collections.abc import Iterable, Mapping
import dataclasses

# Engines are lost for other reasons, too, so parts count as deadly only after
# crashes at this many different times.
_MIN_CRASHES = 3
# As many different prompts must have been at these crashes: one that is sent
# again and again says nothing about its parts.
_MIN_PROMPTS = 2
# Engines that are lost within this time may have a cause of their own in
# common, such as the loss of a zone.
_SAME_TIME_S = 0.1
# A set of parts counts beside larger ones if it is at this many crashes,
_MANY_CRASHES = 5
# and this many of them aren't explained by the larger ones.
_MIN_UNEXPLAINED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loss:
    """What is known of a crash.

    Attributes:
        at: When the engine was lost, in seconds.
        suspects: The parts of each prompt that may have caused it, by the
            prompt's identity.
    """

    at: float
    suspects: Mapping[str, frozenset[str]]


@dataclasses.dataclass(kw_only=True)
class _Candidate:
    """A part that may be deadly.

    Attributes:
        crashes: The keys of the crashes that it was at.
        prompts: The identities of the prompts that had it there.
        companions: The parts that all these prompts have, itself included.
    """

    crashes: set[str]
    prompts: set[str]
    companions: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonParts:
    """Parts that the prompts at several crashes have in common.

    Attributes:
        parts: The keys of the parts.
        crashes: The keys of the crashes that prompts with all of them were at.
    """

    parts: frozenset[str]
    crashes: frozenset[str]


def find_common_parts(losses: Mapping[str, Loss]) -> list[CommonParts]:
    """Returns the sets of parts that explain several crashes.

    Each part stands for all that the prompts with it have in common, so that
    as few other prompts as possible have the set. A set that larger ones
    explain is left out, and so is one at fewer crashes than another that
    explains them. Sets that explain the same crashes can't be told apart.

    Args:
        losses: The losses by the key of the crash.
    """
    times = _number_times(losses)
    sets = _drop_explained(_list_sets(losses, times), times)
    sets.sort(key=lambda item: len(item.crashes), reverse=True)
    found: list[CommonParts] = []
    for item in sets:
        explained = set().union(*(other.crashes for other in found))
        is_tie = any(item.crashes == other.crashes for other in found)
        unexplained = _count_times(item.crashes - explained, times)
        if is_tie or unexplained >= _MIN_CRASHES or not found:
            found.append(item)
    return found


def _number_times(losses: Mapping[str, Loss]) -> dict[str, int]:
    """Returns a number for each crash, the same for those at the same time."""
    numbers: dict[str, int] = {}
    number = 0
    began_at = float("-inf")
    for key in sorted(losses, key=lambda key: losses[key].at):
        if losses[key].at - began_at > _SAME_TIME_S:
            number += 1
            began_at = losses[key].at
        numbers[key] = number
    return numbers


def _count_times(crashes: Iterable[str], times: Mapping[str, int]) -> int:
    return len({times[key] for key in crashes})


def _list_sets(
    losses: Mapping[str, Loss], times: Mapping[str, int]
) -> list[CommonParts]:
    """Returns what is in common to the prompts with each eligible part."""
    sets = {
        item.companions: CommonParts(
            parts=item.companions, crashes=frozenset(item.crashes)
        )
        for item in _list_candidates(losses)
        if _count_times(item.crashes, times) >= _MIN_CRASHES
        and len(item.prompts) >= _MIN_PROMPTS
    }
    return list(sets.values())


def _list_candidates(losses: Mapping[str, Loss]) -> Iterable[_Candidate]:
    candidates: dict[str, _Candidate] = {}
    for key, loss in losses.items():
        for identity, parts in loss.suspects.items():
            for part in parts:
                candidate = candidates.get(part)
                if candidate is None:
                    candidate = candidates[part] = _Candidate(
                        crashes=set(), prompts=set(), companions=parts
                    )
                candidate.crashes.add(key)
                candidate.prompts.add(identity)
                candidate.companions &= parts
    return candidates.values()


def _drop_explained(
    sets: list[CommonParts], times: Mapping[str, int]
) -> list[CommonParts]:
    """Returns the sets whose crashes larger sets don't explain."""
    kept = []
    for item in sets:
        larger = [other for other in sets if item.parts < other.parts]
        explained = set().union(*(other.crashes for other in larger))
        unexplained = _count_times(item.crashes - explained, times)
        is_frequent = _count_times(item.crashes, times) >= _MANY_CRASHES
        needed = _MIN_UNEXPLAINED if is_frequent else _MIN_CRASHES
        if unexplained >= needed:
            kept.append(item)
    return kept
