"""The contract between the HTTP front end and the gateway daemon."""

import abc
from typing import Protocol

from sassafrasstile import gateway


class Exchange(abc.ABC):
    """A caller's HTTP request and the response to it."""

    @abc.abstractmethod
    def handle(self, effect: gateway.Effect) -> None:
        """Writes an effect of the kernel to the caller."""

    @abc.abstractmethod
    def supersede(self) -> None:
        """Ends the exchange because the caller has sent the request again."""


class Router(Protocol):
    """The part of the gateway daemon that the front end uses."""

    def submit(
        self, request: gateway.GenerationRequest, exchange: Exchange
    ) -> None:
        """Submits a generation request.

        Raises:
            errors.RequestError: If its id is already in use.
        """

    def submit_call(
        self,
        request: gateway.CallRequest | gateway.InquiryRequest,
        exchange: Exchange,
    ) -> None:
        """Submits a call to a plain service, or an inquiry about a call."""

    def cancel(self, request_id: str, exchange: Exchange) -> None:
        """Cancels a request whose caller has disconnected."""

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send requests here."""
