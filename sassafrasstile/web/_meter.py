"""Counts the bytes that are buffered for all requests of a process."""

# Buffered for requests when nothing is known of the VM's memory.
DEFAULT_MAX_BUFFERED_BYTES = 16777216


class BufferMeter:
    """The number of bytes buffered, and its limit.

    Args:
        max_bytes: The number from which no new work should be taken.

    Attributes:
        used_bytes: The number of bytes buffered.

    >>> meter = BufferMeter(max_bytes=10)
    >>> share = BufferShare(meter=meter)
    >>> share.set(12)
    >>> meter.used_bytes, meter.is_full
    (12, True)
    >>> share.set(0)
    >>> meter.is_full
    False
    """

    def __init__(self, *, max_bytes: int = DEFAULT_MAX_BUFFERED_BYTES):
        self._max_bytes = max_bytes
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """True while no new work should be taken."""
        return self.used_bytes >= self._max_bytes


class BufferShare:
    """What one buffer contributes to a meter.

    Args:
        meter: The meter.
    """

    def __init__(self, *, meter: BufferMeter):
        self._meter = meter
        self._size = 0

    def set(self, size: int) -> None:
        """Sets the size of the buffer in bytes."""
        self._meter.used_bytes += size - self._size
        self._size = size
