"""Data types of crashes and of the prompts that may have caused them."""

import dataclasses
import hashlib

# Longer names are replaced by a digest of this many bytes.
MAX_KEY_CHARS = 40
_DIGEST_BYTES = 8
# Parts of a prompt beyond this many are ignored.
_MAX_PARTS = 16


def make_key(service: str, part_id: str) -> str:
    """Returns the key of a part of a prompt for a service.

    Callers choose the ids of parts, so the length of a key is bounded.

    >>> make_key("writer", "5c1e07a2")
    'writer/5c1e07a2'
    >>> len(make_key("writer", "x" * 1000))
    16
    """
    key = f"{service}/{part_id}"
    if len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable():
        return key
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prompt:
    """What identifies a prompt and those that share parts with it.

    Attributes:
        own: The key of its last part, which belongs to this prompt or to its
            session; empty if nothing is known of the prompt.
        shared: The keys of its other parts.
    """

    own: str
    shared: frozenset[str]

    @classmethod
    def make(cls, service: str, part_ids: tuple[str, ...]) -> "Prompt":
        """Returns the prompt of a request.

        Args:
            service: The name of the service that it is for.
            part_ids: The ids of its parts in order. The last one is its own.

        >>> prompt = Prompt.make("s", ("system", "session", "turn"))
        >>> prompt.own, len(prompt.shared)
        ('s/turn', 2)
        """
        if not part_ids:
            return cls(own="", shared=frozenset())
        shared = part_ids[:-1][:_MAX_PARTS]
        return cls(
            own=make_key(service, part_ids[-1]),
            shared=frozenset(make_key(service, item) for item in shared),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """An engine that was lost before it had written what it was asked to.

    Attributes:
        engine: The key of the engine's incarnation.
        age_s: Seconds since it was lost.
        suspects: The prompts that it had not begun to answer, without those
            parts that are known to be sound.
    """

    engine: str
    age_s: float
    suspects: frozenset[Prompt]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """What one gateway tells another.

    Attributes:
        crashes: Crashes, the newest first.
        sound: The keys of parts that engines have answered.
    """

    crashes: tuple[Crash, ...] = ()
    sound: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Why a prompt is refused.

    Attributes:
        parts: The keys of the shared parts that all prompts concerned have, or
            the key of the prompt itself.
        crashes: The number of engines that were lost.
        until: When such prompts are let through again, in seconds.
    """

    parts: frozenset[str]
    crashes: int
    until: float
