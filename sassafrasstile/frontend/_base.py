"""The contract between the HTTP front end and the gateway daemon."""

import abc
from typing import Protocol

from sassafrasstile import gateway


class Exchange(abc.ABC):
    """One caller's HTTP request that waits for its answer."""

    @abc.abstractmethod
    def handle(self, effect: gateway.Effect) -> None:
        """Writes an effect of the kernel to the caller."""

    @abc.abstractmethod
    def supersede(self) -> None:
        """Ends the answer: the caller goes on in another exchange."""


class Router(Protocol):
    """What the front end needs of the gateway daemon."""

    def submit(
        self, request: gateway.GenerationRequest, exchange: Exchange
    ) -> None:
        """Takes a generation request.

        Raises:
            errors.RequestError: When its id is in use.
        """

    def submit_call(
        self,
        request: gateway.CallRequest | gateway.InquiryRequest,
        exchange: Exchange,
    ) -> None:
        """Takes a call to a plain service, or a question about one."""

    def cancel(self, request_id: str, exchange: Exchange) -> None:
        """Gives up a request whose caller has gone."""

    def is_ready(self) -> bool:
        """Says whether the balancer should send requests here."""
