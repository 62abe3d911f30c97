"""What one run of a prompt at an engine shows about the prompt."""

from collections.abc import Callable

# An engine that goes on for this long after it has begun to write has survived
# the prompt.
_PROOF_S = 0.5


class RunWatch:
    """Follows a run until it shows whether an engine survives its prompt.

    Args:
        on_sound: Called once when the engine has survived the prompt.
        on_lost: Called when the engine is lost before that.
    """

    def __init__(
        self,
        *,
        on_sound: Callable[[], None],
        on_lost: Callable[[], None],
    ):
        self._on_sound = on_sound
        self._on_lost = on_lost
        self._first_event_at: float | None = None
        self._is_decided = False

    def record_event(self, now: float) -> None:
        """Records that the engine has written something."""
        if self._first_event_at is None:
            self._first_event_at = now
        if self._has_survived(now):
            self.record_end()

    def record_end(self) -> None:
        """Records that the engine has written the complete answer."""
        if not self._is_decided:
            self._is_decided = True
            self._on_sound()

    def record_loss(self, now: float) -> None:
        """Records that the connection to the engine was lost."""
        if self._has_survived(now):
            self.record_end()
        elif not self._is_decided:
            self._is_decided = True
            self._on_lost()

    def _has_survived(self, now: float) -> bool:
        first_event_at = self._first_event_at
        return first_event_at is not None and now - first_event_at >= _PROOF_S
