"""Validates single values."""

import re
import socket
import struct

from sassafrasstile import errors

# What taking a decoded document apart may raise when it has another shape or
# holds values that can't be used.
DOCUMENT_ERRORS = (
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    struct.error,
)
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
# What a header's value may hold as it is.
_TOKEN = re.compile(r"[!-~]{1,255}")
_MAX_PORT = 65535
_MAX_SHOWN_CHARACTERS = 80
_MAX_SHOWN_BITS = 64
# From here on, IPv4 addresses name no single host.
_FIRST_MULTICAST_OCTET = 224


def check_name(value: str, *, label: str) -> str:
    """Checks a name of a service, pool, endpoint or workspace.

    Args:
        value: The name.
        label: What the name denotes, for the error message.

    Returns:
        The name.

    Raises:
        errors.Error: With BAD_VALUE.

    >>> check_name("oslo-a", label="endpoint")
    'oslo-a'
    """
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=(
                f"{label} is {value!r}; allowed are 1 to 63 of a-z, 0-9, "
                "'.', '_' and '-', the first a letter or digit"
            ),
        )
    return value


def check_token(value: str, *, label: str) -> str:
    """Checks a name that this project didn't choose.

    Args:
        value: The name.
        label: What the name denotes, for the error message.

    Returns:
        The name.

    Raises:
        errors.Error: With BAD_VALUE.

    >>> check_token("i-7f3a91c2", label="endpoint")
    'i-7f3a91c2'
    """
    if not isinstance(value, str) or not _TOKEN.fullmatch(value):
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=(
                f"{label} is {_shorten(value)}; allowed are 1 to 255 printable "
                "ASCII characters without spaces"
            ),
        )
    return value


def check_ip_address(value: str, *, label: str) -> str:
    """Checks the IPv4 address of a host, in dotted form.

    Args:
        value: The address.
        label: What the address denotes, for the error message.

    Returns:
        The address.

    Raises:
        errors.Error: With BAD_VALUE.

    >>> check_ip_address("127.0.0.1", label="host")
    '127.0.0.1'
    """
    try:
        first_octet = socket.inet_pton(socket.AF_INET, value)[0]
    except (OSError, TypeError, ValueError):
        first_octet = 0
    if not 1 <= first_octet < _FIRST_MULTICAST_OCTET:
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=(
                f"{label} is {_shorten(value)}; expected the IPv4 address of "
                "a host"
            ),
        )
    return value


def check_port(value: int, *, label: str) -> int:
    """Checks a port number.

    Args:
        value: The port.
        label: What the port denotes, for the error message.

    Returns:
        The port.

    Raises:
        errors.Error: With BAD_VALUE.
    """
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 1 <= value <= _MAX_PORT:
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=(
                f"{label} is {_shorten(value)}; allowed are whole numbers "
                f"from 1 to {_MAX_PORT}"
            ),
        )
    return value


def check_positive(value: float, *, label: str) -> float:
    """Checks that a number is above zero.

    Args:
        value: The number.
        label: What the number denotes, for the error message.

    Returns:
        The number.

    Raises:
        errors.Error: With BAD_VALUE.
    """
    if isinstance(value, bool) or not value > 0:
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=f"{label} is {value!r}; allowed are numbers above 0",
        )
    return value


def check_fraction(value: float, *, label: str) -> float:
    """Checks that a number lies between zero and one.

    Args:
        value: The number.
        label: What the number denotes, for the error message.

    Returns:
        The number.

    Raises:
        errors.Error: With BAD_VALUE.
    """
    if isinstance(value, bool) or not 0 <= value <= 1:
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=f"{label} is {value!r}; allowed are numbers from 0 to 1",
        )
    return value


def _shorten(value: object) -> str:
    """Returns a value for an error message, however long it is."""
    if isinstance(value, int) and value.bit_length() > _MAX_SHOWN_BITS:
        # It may have more digits than Python writes.
        return f"a number of {value.bit_length()} bits"
    return repr(value)[:_MAX_SHOWN_CHARACTERS]
