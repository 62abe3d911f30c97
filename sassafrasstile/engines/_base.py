"""The contract of adapters to model engines."""

import abc
from typing import Protocol

from sassafrasstile import messages


class EngineListener(Protocol):
    """What an engine adapter reports to."""

    def finish_prefill(
        self, work_id: str, *, handle: str, computed_tokens: int, took_s: float
    ) -> None:
        """A prefill is done and its result can be exported."""

    def add_tokens(self, work_id: str, texts: tuple[str, ...]) -> None:
        """Tokens were generated."""

    def finish_decode(self, work_id: str, *, reason: str) -> None:
        """A decode is done and its memory is free."""

    def fail_work(self, work_id: str, *, code: str, started: bool) -> None:
        """Work was refused or dropped and its memory is free."""

    def confirm_cancel(self, work_id: str) -> None:
        """The memory of cancelled work is free."""

    def reconcile_work(self, work_ids: tuple[str, ...]) -> None:
        """The engine holds this work."""


class Engine(abc.ABC):
    """Carries out work on a model engine and reports to a listener.

    Each call returns at once. For each prefill or decode started the
    listener hears one end: finished, failed, or a confirmed cancellation.
    """

    @abc.abstractmethod
    def start(self, listener: EngineListener) -> None:
        """Starts to report to a listener."""

    @abc.abstractmethod
    def close(self) -> None:
        """Drops every connection."""

    @abc.abstractmethod
    def start_prefill(self, work_id: str, message: messages.Prefill) -> None:
        """Starts a prefill."""

    @abc.abstractmethod
    def start_decode(self, work_id: str, message: messages.Decode) -> None:
        """Imports a KV cache and starts the decode."""

    @abc.abstractmethod
    def cancel(self, work_id: str) -> None:
        """Cancels work and frees its memory."""

    @abc.abstractmethod
    def request_work_list(self) -> None:
        """Asks what the engine holds."""
