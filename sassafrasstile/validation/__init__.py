"""Validates single values. Errors state the value and what is allowed."""

from sassafrasstile.validation._checks import (
    check_fraction,
    check_name,
    check_positive,
)

__all__ = ["check_fraction", "check_name", "check_positive"]
