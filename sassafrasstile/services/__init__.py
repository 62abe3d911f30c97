"""Adapters to plain services."""

from sassafrasstile.services._base import Service, ServiceListener
from sassafrasstile.services._http import HttpService

__all__ = ["HttpService", "Service", "ServiceListener"]
