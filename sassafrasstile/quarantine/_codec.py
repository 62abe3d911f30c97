"""Encodes evidence as messages between gateways."""

import json

from sassafrasstile import errors
from sassafrasstile.quarantine import _base

_MS_PER_S = 1000
_TAG = "crashes"


def is_message(data: bytes) -> bool:
    """Returns whether a message of another gateway holds evidence."""
    return data.startswith(f'["{_TAG}"'.encode())


def encode_evidence(evidence: _base.Evidence) -> bytes:
    """Encodes evidence.

    >>> prompt = _base.Prompt.make("s", ("system", "own"))
    >>> crash = _base.Crash(
    ...     engine="e", age_s=1.5, suspects=frozenset((prompt,)))
    >>> evidence = _base.Evidence(crashes=(crash,), sound=("s/a",))
    >>> data = encode_evidence(evidence)
    >>> is_message(data), decode_evidence(data) == evidence
    (True, True)
    """
    crashes = [
        [
            crash.engine,
            round(crash.age_s * _MS_PER_S),
            [[item.own, *sorted(item.shared)] for item in crash.suspects],
        ]
        for crash in evidence.crashes
    ]
    fields = [_TAG, crashes, list(evidence.sound)]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_evidence(data: bytes) -> _base.Evidence:
    """Decodes evidence.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        _, crashes, sound = json.loads(data)
        return _base.Evidence(
            crashes=tuple(_decode_crash(item) for item in crashes),
            sound=tuple(_check_key(part) for part in sound),
        )
    except (ValueError, TypeError) as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"evidence: {reason}"
        ) from reason


def _decode_crash(fields: list) -> _base.Crash:
    engine, age_ms, suspects = fields
    return _base.Crash(
        engine=_check_key(engine),
        age_s=max(0, int(age_ms)) / _MS_PER_S,
        suspects=frozenset(
            _base.Prompt(
                own=_check_key(own),
                shared=frozenset(_check_key(part) for part in shared),
            )
            for own, *shared in suspects
        ),
    )


def _check_key(value: object) -> str:
    if not isinstance(value, str) or len(value) > _base.MAX_KEY_CHARS:
        raise ValueError(f"{value!r:.50} is no key")
    return value
