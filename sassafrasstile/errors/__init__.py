"""Exceptions with stable error codes."""

from sassafrasstile.errors._base import (
    Code,
    ConfigurationError,
    Error,
    InvariantError,
    LogUnavailableError,
    RequestError,
)

__all__ = [
    "Code",
    "ConfigurationError",
    "Error",
    "InvariantError",
    "LogUnavailableError",
    "RequestError",
]
