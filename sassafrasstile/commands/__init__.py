"""The command-line interface."""

from sassafrasstile.commands._main import main

__all__ = ["main"]
