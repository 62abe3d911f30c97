"""Shared checks. Each error states the value received and those allowed."""

from sassafrasstile.validation._checks import (
    check_fraction,
    check_name,
    check_positive,
)

__all__ = ["check_fraction", "check_name", "check_positive"]
