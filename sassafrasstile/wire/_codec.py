"""Translates between message data classes and protobuf."""

import dataclasses
import re

from sassafrasstile import messages
from sassafrasstile.wire import router_pb2


def _name_field(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


_MESSAGE_TYPES: dict[str, type[messages.Message]] = {
    _name_field(name): getattr(messages, name)
    for name in messages.__all__
    if issubclass(getattr(messages, name), messages.Message)
    and name not in ("Message", "Attempted")
}
_FIELD_NAMES = {kind: name for name, kind in _MESSAGE_TYPES.items()}
_ATTRIBUTES = {
    kind: tuple(field.name for field in dataclasses.fields(kind))
    for kind in (*_FIELD_NAMES, messages.Load)
}


def list_message_types() -> tuple[type[messages.Message], ...]:
    """Returns every message type that the protocol carries."""
    return tuple(_FIELD_NAMES)


def _read_value(value):
    if isinstance(value, (str, bytes, int, float, bool)):
        return value
    return tuple(value)


def _encode_envelope(message: messages.Message) -> router_pb2.Envelope:
    kind = type(message)
    envelope = router_pb2.Envelope()
    body = getattr(envelope, _FIELD_NAMES[kind])
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
        **{key: _read_value(getattr(body, key)) for key in _ATTRIBUTES[kind]}
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

    A message of a kind that this version doesn't know is left out.
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
        messages=tuple(item for item in decoded if item is not None),
    )


def strip_identity(batch: messages.Batch) -> messages.Batch:
    """Leaves out of a later batch what the first one of its stream said."""
    return dataclasses.replace(batch, sender="", incarnation="", target="")


def restore_identity(
    batch: messages.Batch, first: messages.Batch
) -> messages.Batch:
    """Puts back what `strip_identity` left out.

    Args:
        batch: A later batch of a stream.
        first: The stream's first batch.

    Returns:
        The batch with the identity that the stream's first one had.
    """
    if batch.sender:
        return batch
    return dataclasses.replace(
        batch,
        sender=first.sender,
        incarnation=first.incarnation,
        target=first.target,
    )
