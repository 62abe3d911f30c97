"""Encodes the messages by which gateways confirm their configuration."""

import dataclasses
import json
import math

from sassafrasstile import errors

_MS_PER_S = 1000
_TAG = "confirm"
_QUESTION = "which"
_ANSWER = "is"
_MAX_MS = 3_600_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionQuestion:
    """Asks which version another gateway has in force, and how old that is.

    Attributes:
        number: Identifies the question.
    """

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionAnswer:
    """The answer.

    Attributes:
        number: The number of the question.
        version: The version in force.
        age_s: The age of the belief that it is the newest one, in seconds;
            infinity if it was never confirmed.
        next_s: Seconds until that belief is expected to be confirmed again.
    """

    number: int
    version: int
    age_s: float
    next_s: float


Message = VersionQuestion | VersionAnswer


def is_message(data: bytes) -> bool:
    """Returns whether another gateway's message is one of these."""
    return data.startswith(f'["{_TAG}"'.encode())


def encode_message(message: Message) -> bytes:
    """Encodes a message; ages are rounded up.

    >>> for message in (
    ...     VersionQuestion(number=7),
    ...     VersionAnswer(number=7, version=3, age_s=1.25, next_s=0.5),
    ...     VersionAnswer(number=7, version=3, age_s=math.inf, next_s=0.0),
    ... ):
    ...     data = encode_message(message)
    ...     assert is_message(data) and decode_message(data) == message
    """
    match message:
        case VersionQuestion(number=number):
            fields = [_QUESTION, number]
        case VersionAnswer(number=number, version=version):
            fields = [
                _ANSWER,
                number,
                version,
                _encode_age(message.age_s),
                min(_MAX_MS, round(message.next_s * _MS_PER_S)),
            ]
    return json.dumps([_TAG, *fields], separators=(",", ":")).encode()


def _encode_age(age_s: float) -> int | None:
    if age_s > _MAX_MS / _MS_PER_S:
        return None
    return math.ceil(age_s * _MS_PER_S)


def decode_message(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        match json.loads(data):
            case [str(), str(kind), int(number)] if kind == _QUESTION:
                return VersionQuestion(number=number)
            case [
                str(),
                str(kind),
                int(number),
                int(version),
                age,
                int(next_ms),
            ]:
                if kind != _ANSWER or not 0 <= next_ms <= _MAX_MS:
                    raise ValueError(f"unexpected fields of {kind!r:.20}")
                return VersionAnswer(
                    number=number,
                    version=version,
                    age_s=_decode_age(age),
                    next_s=next_ms / _MS_PER_S,
                )
            case fields:
                raise ValueError(f"unexpected fields {fields!r:.100}")
    except (ValueError, RecursionError) as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"confirm: {reason!s:.150}"
        ) from reason


def _decode_age(value: object) -> float:
    if value is None:
        return math.inf
    if not isinstance(value, int) or not 0 <= value <= _MAX_MS:
        raise ValueError(f"{value!r:.20} isn't an age in milliseconds")
    return value / _MS_PER_S
