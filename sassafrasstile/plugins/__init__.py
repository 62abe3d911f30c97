"""The registry of plug-ins."""

from sassafrasstile.plugins._registry import Kind, create, list_names, register

__all__ = ["Kind", "create", "list_names", "register"]
