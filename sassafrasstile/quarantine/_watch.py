"""What one run of a request at an endpoint shows about its content."""

from collections.abc import Callable

# An engine that has gone on writing for this long has survived the prompt.
_PROOF_S = 0.5


class RunWatch:
    """Follows a run until it shows whether an endpoint survives it.

    Args:
        on_answer: Called once when the endpoint has survived.
        on_loss: Called when the endpoint is lost before that, with the time of
            the loss in seconds, or None if it is now.
    """

    def __init__(
        self,
        *,
        on_answer: Callable[[], None],
        on_loss: Callable[[float | None], None],
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
        """Records that the endpoint has sent the complete answer."""
        if not self._is_decided:
            self._is_decided = True
            self._on_answer()

    def record_loss(self, *, lost_at: float | None = None) -> None:
        """Records that the answer broke off or never began.

        Args:
            lost_at: When it did, in seconds, or None if it is now.
        """
        if not self._is_decided:
            self._is_decided = True
            self._on_loss(lost_at)
