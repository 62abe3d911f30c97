"""The command line."""

from sassafrasstile.commands._main import main

__all__ = ["main"]
