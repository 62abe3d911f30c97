"""Converts between message data classes and protobuf."""

import dataclasses
import re

from sassafrasstile import messages
from sassafrasstile.wire import router_pb2


def _to_snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


_MESSAGE_TYPES: dict[str, type[messages.Message]] = {
    _to_snake_case(name): getattr(messages, name)
    for name in messages.__all__
    if issubclass(getattr(messages, name), messages.Message)
    and name not in ("Message", "Attempted")
}
_ENVELOPE_FIELDS = {kind: name for name, kind in _MESSAGE_TYPES.items()}
_ATTRIBUTES = {
    kind: tuple(field.name for field in dataclasses.fields(kind))
    for kind in (*_ENVELOPE_FIELDS, messages.Load)
}


def list_message_types() -> tuple[type[messages.Message], ...]:
    """Returns every message type that the protocol carries."""
    return tuple(_ENVELOPE_FIELDS)


def _decode_value(value):
    if isinstance(value, (str, bytes, int, float, bool)):
        return value
    return tuple(value)


def _encode_envelope(message: messages.Message) -> router_pb2.Envelope:
    kind = type(message)
    envelope = router_pb2.Envelope()
    body = getattr(envelope, _ENVELOPE_FIELDS[kind])
    body.SetInParent()
    for name in _ATTRIBUTES[kind]:
        value = getattr(message, name)
        if isinstance(value, tuple):
            getattr(body, name).extend(value)
        else:
            setattr(body, name, value)
    return envelope


def _decode_envelope(envelope: router_pb2.Envelope) -> messages.Message | None:
    name = envelope.WhichOneof("body")
    if name is None:
        return None
    body = getattr(envelope, name)
    kind = _MESSAGE_TYPES[name]
    return kind(
        **{key: _decode_value(getattr(body, key)) for key in _ATTRIBUTES[kind]}
    )


def encode(batch: messages.Batch) -> router_pb2.Batch:
    """Returns the protobuf form of a batch."""
    load = None
    if batch.load is not None:
        load = router_pb2.Load(**dataclasses.asdict(batch.load))
    return router_pb2.Batch(
        sender=batch.sender,
        incarnation=batch.incarnation,
        target=batch.target,
        sent_at=batch.sent_at,
        load=load,
        envelopes=[_encode_envelope(message) for message in batch.messages],
    )


def decode(batch: router_pb2.Batch) -> messages.Batch:
    """Returns the data class form of a batch.

    Messages of types that this version doesn't know are left out.
    """
    load = None
    if batch.HasField("load"):
        load = messages.Load(
            **{
                name: getattr(batch.load, name)
                for name in _ATTRIBUTES[messages.Load]
            }
        )
    decoded = (_decode_envelope(envelope) for envelope in batch.envelopes)
    return messages.Batch(
        sender=batch.sender,
        incarnation=batch.incarnation,
        target=batch.target,
        sent_at=batch.sent_at,
        load=load,
        messages=tuple(message for message in decoded if message is not None),
    )


def strip_identity(batch: messages.Batch) -> messages.Batch:
    """Removes the identity that the first batch of the stream has stated."""
    return dataclasses.replace(batch, sender="", incarnation="", target="")


def restore_identity(
    batch: messages.Batch, first: messages.Batch
) -> messages.Batch:
    """Restores the identity that `strip_identity` removed.

    Args:
        batch: A later batch of a stream.
        first: The stream's first batch.

    Returns:
        The batch with the identity of the stream's first one.
    """
    if batch.sender:
        return batch
    return dataclasses.replace(
        batch,
        sender=first.sender,
        incarnation=first.incarnation,
        target=first.target,
    )
