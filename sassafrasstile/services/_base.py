"""The interface of adapters to plain services."""

import abc
from typing import Protocol

from sassafrasstile import messages


class ServiceListener(Protocol):
    """Receives the reports of a service adapter."""

    def finish_call(
        self, call_id: str, *, status: int, content_type: str, body: bytes
    ) -> None:
        """Reports the service's response to a call."""

    def fail_call(self, call_id: str, *, sent: bool) -> None:
        """Reports a call without response.

        `sent` is False if no byte of the call was sent.
        """


class Service(abc.ABC):
    """Sends calls to a plain service and reports to a listener."""

    @abc.abstractmethod
    def start(self, listener: ServiceListener) -> None:
        """Sets the listener that receives the reports."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all connections to the service."""

    @abc.abstractmethod
    def run_call(self, call_id: str, call: messages.Call) -> None:
        """Sends a call to the service exactly once, without retries."""
