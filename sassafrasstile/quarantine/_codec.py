"""Encodes what is known of crashes as messages between gateways."""

from collections.abc import Iterable
import json

from sassafrasstile import errors
from sassafrasstile.quarantine import _base

_MS_PER_S = 1000
_TAG = "crashes"
# Older crashes, and other numbers that are no age, are malformed.
_MAX_AGE_MS = 10_000_000


def is_message(data: bytes) -> bool:
    """Returns whether a message of another gateway describes crashes."""
    return data.startswith(f'["{_TAG}"'.encode())


def encode_crashes(crashes: Iterable[_base.Crash]) -> bytes:
    """Encodes crashes.

    >>> prompt = _base.make_prompt("s", ("system", "own"))
    >>> crash = _base.Crash(
    ...     engine="e", age_s=1.5, suspects=frozenset((prompt,)),
    ...     answered=frozenset(("a",)))
    >>> data = encode_crashes([crash])
    >>> is_message(data), decode_crashes(data) == [crash]
    (True, True)
    """
    rows = [
        [
            crash.engine,
            round(crash.age_s * _MS_PER_S),
            [[item.identity, *sorted(item.shared)] for item in crash.suspects],
            sorted(crash.answered),
        ]
        for crash in crashes
    ]
    return json.dumps([_TAG, rows], separators=(",", ":")).encode()


def decode_crashes(data: bytes) -> list[_base.Crash]:
    """Decodes crashes.

    Raises:
        errors.Error: With BAD_VALUE when the message is malformed.
    """
    try:
        _, rows = json.loads(data)
        return [_decode_crash(row) for row in rows]
    except (ValueError, TypeError, RecursionError) as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"crashes: {reason!s:.100}"
        ) from reason


def _decode_crash(row: list) -> _base.Crash:
    engine, age_ms, suspects, answered = row
    if not isinstance(age_ms, int) or not 0 <= age_ms <= _MAX_AGE_MS:
        raise ValueError(f"age {age_ms!r:.20} isn't milliseconds")
    return _base.Crash(
        engine=_check_key(engine),
        age_s=age_ms / _MS_PER_S,
        suspects=frozenset(
            _base.Content(
                identity=_check_key(identity),
                shared=frozenset(
                    _check_key(part) for part in shared[: _base.MAX_PARTS]
                ),
            )
            for identity, *shared in suspects
        ),
        answered=frozenset(_check_key(identity) for identity in answered),
    )


def _check_key(value: object) -> str:
    if not isinstance(value, str) or len(value) > _base.MAX_KEY_CHARS:
        raise ValueError(f"{value!r:.50} is no key")
    return value
