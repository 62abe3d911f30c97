"""Encodes messages about stream origins, and the keys of streams."""

import hashlib
import json

from sassafrasstile import errors
from sassafrasstile.streams import _base

_MS_PER_S = 1000
_KEY_BYTES = 12
_ANNOUNCEMENT = "began"
_QUERY = "which"
_ANSWER = "is"
_PROMPT_QUERY = "whose"
_PROMPT_ANSWER = "vouch"
_TRANSFER = "hold"
_RECEIPT = "held"
_VERSION_QUERY = "past"
_VERSION_ANSWER = "saw"


def make_key(text: str) -> str:
    """Returns the key of an attempt's stream, or of a prompt.

    Callers choose the ids; a key has a fixed length.

    Args:
        text: The id of the attempt, or of the prompt.
    """
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=_KEY_BYTES).hexdigest()


def encode_message(message: _base.Message) -> bytes:
    """Encodes a message.

    >>> origin = _base.StreamOrigin(service="s", software_version="v1")
    >>> for message in (
    ...     _base.OriginAnnouncement(key="k", origin=origin, lifetime_s=2.5),
    ...     _base.Query(key="k"),
    ...     _base.Answer(key="k", origin=origin),
    ...     _base.Answer(key="k", origin=None),
    ...     _base.PromptQuery(key="k", number=7),
    ...     _base.PromptAnswer(
    ...         key="k",
    ...         number=7,
    ...         view=_base.PromptView(
    ...             origins=(origin,), age_s=1.5, memory_s=9.0, gateway_count=3
    ...         ),
    ...     ),
    ...     _base.OriginTransfer(
    ...         number=7,
    ...         announcements=(
    ...             _base.OriginAnnouncement(
    ...                 key="k", origin=origin, lifetime_s=2.5
    ...             ),
    ...         ),
    ...     ),
    ...     _base.TransferReceipt(number=7),
    ...     _base.VersionQuery(
    ...         number=7, position=_base.ListPosition(epoch=None, offset=3)
    ...     ),
    ...     _base.VersionAnswer(
    ...         number=7,
    ...         memory=_base.VersionMemory(
    ...             memory_s=9.0,
    ...             sightings=(
    ...                 _base.VersionSighting(origin=origin, age_s=1.5),
    ...             ),
    ...         ),
    ...     ),
    ... ):
    ...     assert decode_message(encode_message(message)) == message
    """
    match message:
        case _base.OriginAnnouncement():
            fields = [_ANNOUNCEMENT, *_list_announcement(message)]
        case _base.Query(key=key):
            fields = [_QUERY, key]
        case _base.Answer(key=key, origin=origin):
            fields = [_ANSWER, key, *_list_fields(origin)]
        case _base.PromptQuery(key=key, number=number):
            fields = [_PROMPT_QUERY, key, number]
        case _base.PromptAnswer(key=key, number=number, view=view):
            fields = [_PROMPT_ANSWER, key, number, *_list_view(view)]
        case _base.OriginTransfer(number=number, announcements=announcements):
            rows = [_list_announcement(item) for item in announcements]
            fields = [_TRANSFER, number, rows]
        case _base.TransferReceipt(number=number):
            fields = [_RECEIPT, number]
        case _base.VersionQuery(number=number, position=position):
            fields = [_VERSION_QUERY, number, position.epoch, position.offset]
        case _base.VersionAnswer(number=number, memory=memory):
            memory_ms = round(memory.memory_s * _MS_PER_S)
            rows = [
                [*_list_fields(item.origin), round(item.age_s * _MS_PER_S)]
                for item in memory.sightings
            ]
            fields = [_VERSION_ANSWER, number, memory_ms, rows]
    return json.dumps(fields, separators=(",", ":")).encode()


def _list_fields(origin: _base.StreamOrigin | None) -> list[str]:
    return [] if origin is None else [origin.service, origin.software_version]


def _list_announcement(item: _base.OriginAnnouncement) -> list:
    lifetime_ms = round(item.lifetime_s * _MS_PER_S)
    return [item.key, *_list_fields(item.origin), lifetime_ms]


def _list_view(view: _base.PromptView) -> list:
    return [
        [_list_fields(origin) for origin in view.origins],
        round(view.age_s * _MS_PER_S),
        round(view.memory_s * _MS_PER_S),
        view.gateway_count,
    ]


def _decode_origin(fields: object) -> _base.StreamOrigin:
    match fields:
        case [str(service), str(version)]:
            return _base.StreamOrigin(service=service, software_version=version)
    raise ValueError(f"unexpected origin {fields!r:.100}")


def _decode_announcement(fields: object) -> _base.OriginAnnouncement:
    match fields:
        case [str(key), str(service), str(version), int(lifetime_ms)]:
            return _base.OriginAnnouncement(
                key=key,
                origin=_base.StreamOrigin(
                    service=service, software_version=version
                ),
                lifetime_s=lifetime_ms / _MS_PER_S,
            )
    raise ValueError(f"unexpected announcement {fields!r:.100}")


def _decode_sighting(fields: object) -> _base.VersionSighting:
    match fields:
        case [str(service), str(version), int(age_ms)]:
            return _base.VersionSighting(
                origin=_base.StreamOrigin(
                    service=service, software_version=version
                ),
                age_s=age_ms / _MS_PER_S,
            )
    raise ValueError(f"unexpected sighting {fields!r:.100}")


def decode_message(data: bytes) -> _base.Message:
    """Decodes a message.

    Raises:
        errors.Error: With BAD_VALUE when it is malformed.
    """
    try:
        match json.loads(data):
            case [str(tag), *row] if tag == _ANNOUNCEMENT:
                return _decode_announcement(row)
            case [str(tag), int(number), [*rows]] if tag == _TRANSFER:
                return _base.OriginTransfer(
                    number=number,
                    announcements=tuple(map(_decode_announcement, rows)),
                )
            case [str(tag), int(number)] if tag == _RECEIPT:
                return _base.TransferReceipt(number=number)
            case [
                str(tag),
                int(number),
                None | int() as epoch,
                int(offset),
            ] if tag == _VERSION_QUERY:
                return _base.VersionQuery(
                    number=number,
                    position=_base.ListPosition(epoch=epoch, offset=offset),
                )
            case [str(tag), int(number), int(memory_ms), [*rows]] if (
                tag == _VERSION_ANSWER
            ):
                return _base.VersionAnswer(
                    number=number,
                    memory=_base.VersionMemory(
                        memory_s=memory_ms / _MS_PER_S,
                        sightings=tuple(map(_decode_sighting, rows)),
                    ),
                )
            case [str(tag), str(key)] if tag == _QUERY:
                return _base.Query(key=key)
            case [str(tag), str(key)] if tag == _ANSWER:
                return _base.Answer(key=key, origin=None)
            case [str(tag), str(key), str(service), str(version)] if (
                tag == _ANSWER
            ):
                return _base.Answer(
                    key=key,
                    origin=_base.StreamOrigin(
                        service=service, software_version=version
                    ),
                )
            case [str(tag), str(key), int(number)] if tag == _PROMPT_QUERY:
                return _base.PromptQuery(key=key, number=number)
            case [
                str(tag),
                str(key),
                int(number),
                [*origins],
                int(age_ms),
                int(memory_ms),
                int(gateway_count),
            ] if tag == _PROMPT_ANSWER:
                return _base.PromptAnswer(
                    key=key,
                    number=number,
                    view=_base.PromptView(
                        origins=tuple(map(_decode_origin, origins)),
                        age_s=age_ms / _MS_PER_S,
                        memory_s=memory_ms / _MS_PER_S,
                        gateway_count=gateway_count,
                    ),
                )
            case fields:
                raise ValueError(f"unexpected fields {fields!r:.100}")
    except ValueError as reason:
        raise errors.Error(
            code=errors.Code.BAD_VALUE, detail=f"stream message: {reason}"
        ) from reason
