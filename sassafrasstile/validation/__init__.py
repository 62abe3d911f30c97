"""Validates single values. Errors state the value and what is allowed."""

from sassafrasstile.validation._checks import (
    DOCUMENT_ERRORS,
    check_fraction,
    check_ip_address,
    check_name,
    check_port,
    check_positive,
    check_token,
)

__all__ = [
    "DOCUMENT_ERRORS",
    "check_fraction",
    "check_ip_address",
    "check_name",
    "check_port",
    "check_positive",
    "check_token",
]
