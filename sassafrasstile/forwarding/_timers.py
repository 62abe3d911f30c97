"""A timer for the silence of endpoints."""

from collections.abc import Callable

# A timer fires no later than this unless this process was suspended.
_SUSPENSION_DELAY_S = 0.2
# Bytes that arrived during a suspension are read within this time.
_READ_DELAY_S = 0.05


class SilenceTimer:
    """Calls a function when an endpoint has been silent for some time.

    After a suspension of this process timers fire before sockets are read.
    The function is called later then, so that what has arrived meanwhile
    isn't taken for silence.

    Args:
        reactor: The reactor.
        on_silence: The function.
    """

    def __init__(self, *, reactor, on_silence: Callable[[], None]):
        self._reactor = reactor
        self._on_silence = on_silence
        self._due_at = 0.0
        self._call = None

    def start(self, delay_s: float) -> None:
        """Starts the timer, which must not be running.

        Args:
            delay_s: Seconds until the call.
        """
        self._due_at = self._reactor.seconds() + delay_s
        self._call = self._reactor.callLater(max(0.0, delay_s), self._fire)

    def close(self) -> None:
        """Stops the timer; further calls do nothing."""
        call, self._call = self._call, None
        if call is not None and call.active():
            call.cancel()

    def _fire(self) -> None:
        if self._reactor.seconds() - self._due_at > _SUSPENSION_DELAY_S:
            self._call = self._reactor.callLater(
                _READ_DELAY_S, self._on_silence
            )
        else:
            self._on_silence()
