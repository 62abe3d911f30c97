"""The contract of adapters to plain services."""

import abc
from typing import Protocol

from sassafrasstile import messages


class ServiceListener(Protocol):
    """What a service adapter reports to."""

    def finish_call(
        self, call_id: str, *, status: int, content_type: str, body: bytes
    ) -> None:
        """The service has answered."""

    def fail_call(self, call_id: str, *, sent: bool) -> None:
        """There is no answer; `sent` is False when no byte has left."""


class Service(abc.ABC):
    """Carries calls to a plain service and reports to a listener."""

    @abc.abstractmethod
    def start(self, listener: ServiceListener) -> None:
        """Starts to report to a listener."""

    @abc.abstractmethod
    def close(self) -> None:
        """Drops every connection."""

    @abc.abstractmethod
    def run_call(self, call_id: str, call: messages.Call) -> None:
        """Sends a call, once."""
