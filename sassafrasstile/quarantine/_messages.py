"""Distributes crashes over messages that each fit into a datagram."""

from collections.abc import Iterable, Iterator
import itertools

from sassafrasstile.quarantine import _base
from sassafrasstile.quarantine import _codec

# Larger datagrams would be sent in fragments, and lost with any of them.
_MAX_BYTES = 1200


def make_messages(crashes: Iterable[_base.Crash]) -> list[bytes]:
    """Returns messages that describe crashes.

    Args:
        crashes: The crashes. One with many prompts is spread over several
            messages.
    """
    pieces = itertools.chain.from_iterable(map(_split, crashes))
    groups: list[list[_base.Crash]] = []
    size = _MAX_BYTES
    for piece in pieces:
        piece_size = len(_codec.encode_crashes([piece]))
        if size + piece_size > _MAX_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(piece)
        size += piece_size
    return [_codec.encode_crashes(group) for group in groups]


def _split(crash: _base.Crash) -> Iterator[_base.Crash]:
    """Yields a crash with one suspect or one answered prompt at a time."""
    if len(_codec.encode_crashes([crash])) <= _MAX_BYTES:
        yield crash
        return
    for content in crash.suspects:
        yield _base.Crash(
            engine=crash.engine,
            age_s=crash.age_s,
            suspects=frozenset((content,)),
        )
    for identity in crash.answered:
        yield _base.Crash(
            engine=crash.engine,
            age_s=crash.age_s,
            answered=frozenset((identity,)),
        )
