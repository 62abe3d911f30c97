"""Validates single values."""

import re

from sassafrasstile import errors

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


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
