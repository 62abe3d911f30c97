"""What one run of a prompt at an engine shows about the prompt."""

from collections.abc import Callable

# An engine that has gone on writing for this long has survived the prompt.
_PROOF_S = 0.5


class RunWatch:
    """Follows a run until it shows whether an engine survives its prompt.

    Args:
        on_answer: Called once when the engine has survived the prompt.
        on_loss: Called when the engine is lost before that.
    """

    def __init__(
        self,
        *,
        on_answer: Callable[[], None],
        on_loss: Callable[[], None],
    ):
        self._on_answer = on_answer
        self._on_loss = on_loss
        self._first_event_at: float | None = None
        self._is_decided = False

    def record_event(self, now: float) -> None:
        """Records that the engine has written something."""
        if self._first_event_at is None:
            self._first_event_at = now
        if now - self._first_event_at >= _PROOF_S:
            self.record_end()

    def record_end(self) -> None:
        """Records that the engine has written the complete answer."""
        if not self._is_decided:
            self._is_decided = True
            self._on_answer()

    def record_loss(self) -> None:
        """Records that the answer broke off or never began."""
        if not self._is_decided:
            self._is_decided = True
            self._on_loss()
