"""The interface of adapters to model engines."""

import abc
from typing import Protocol

from sassafrasstile import messages


class EngineListener(Protocol):
    """Receives the reports of an engine adapter."""

    def finish_prefill(
        self, work_id: str, *, handle: str, computed_tokens: int, took_s: float
    ) -> None:
        """Reports that a prefill is done and its KV cache can be exported."""

    def add_tokens(self, work_id: str, texts: tuple[str, ...]) -> None:
        """Reports newly generated tokens."""

    def finish_decode(self, work_id: str, *, reason: str) -> None:
        """Reports that a decode is done and its memory is free."""

    def fail_work(self, work_id: str, *, code: str, started: bool) -> None:
        """Reports that work was refused or dropped and its memory is free.

        `started` is False only if the work surely hasn't run.
        """

    def confirm_cancel(self, work_id: str) -> None:
        """Reports that the memory of cancelled work is free."""

    def reconcile_work(self, work_ids: tuple[str, ...]) -> None:
        """Reports the ids of all work that the engine holds."""


class Engine(abc.ABC):
    """Runs prefills and decodes on a model engine, reporting to a listener.

    Each call returns immediately. For each prefill or decode started the
    listener receives exactly one final report: finished, failed, or a
    confirmed cancellation.
    """

    @abc.abstractmethod
    def start(self, listener: EngineListener) -> None:
        """Sets the listener that receives the reports."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all connections to the engine."""

    @abc.abstractmethod
    def start_prefill(self, work_id: str, message: messages.Prefill) -> None:
        """Starts a prefill."""

    @abc.abstractmethod
    def start_decode(self, work_id: str, message: messages.Decode) -> None:
        """Starts a decode, which imports the KV cache of its prefill."""

    @abc.abstractmethod
    def cancel(self, work_id: str) -> None:
        """Cancels work so that the engine frees its memory."""

    @abc.abstractmethod
    def request_work_list(self) -> None:
        """Asks the engine for the ids of all work that it holds."""
