"""The HTTP interface of a gateway for callers, on twisted.web."""

from sassafrasstile.frontend._base import Exchange, Router
from sassafrasstile.frontend._directory import CallerDirectory
from sassafrasstile.frontend._root import make_site

__all__ = [
    "CallerDirectory",
    "Exchange",
    "Router",
    "make_site",
]
