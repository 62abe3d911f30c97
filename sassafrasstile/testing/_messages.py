"""Samples of every message, for contract tests."""

import dataclasses

from sassafrasstile import messages
from sassafrasstile import wire

_SAMPLES = {
    str: "text",
    int: 7,
    float: 0.5,
    bool: True,
    bytes: b"\x00body",
    tuple[str, ...]: ("a", "b"),
    tuple[int, ...]: (1, 5),
}


def make_samples() -> list[messages.Message]:
    """Returns one message of each type with a value in every field."""
    return [
        message_type(
            **{
                field.name: _SAMPLES[field.type]
                for field in dataclasses.fields(message_type)
            }
        )
        for message_type in wire.list_message_types()
    ]
