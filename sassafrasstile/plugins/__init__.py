"""The registry in which plug-ins register themselves."""

from sassafrasstile.plugins._registry import Kind, create, list_names, register

__all__ = ["Kind", "create", "list_names", "register"]
