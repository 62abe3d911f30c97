"""Counts the bytes that are buffered for all requests of a process."""

from collections.abc import Callable

# Buffered for requests when nothing is known of the VM's memory.
DEFAULT_MAX_BUFFERED_BYTES = 16777216
# Beyond the limit by this factor the largest buffers are dropped.
_DROP_FACTOR = 1.5
# Dropping smaller buffers would free little.
_MIN_DROPPED_BYTES = 65536


class BufferMeter:
    """The number of bytes buffered, and its limit.

    Args:
        max_bytes: The number from which no new work should be taken.
        on_drop: Called for each buffer that is dropped.

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

    def __init__(
        self,
        *,
        max_bytes: int = DEFAULT_MAX_BUFFERED_BYTES,
        on_drop: Callable[[], None] = lambda: None,
    ):
        self._max_bytes = max_bytes
        self._on_drop = on_drop
        self._droppable: set[BufferShare] = set()
        self._is_dropping = False
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """True while no new work should be taken."""
        return self.used_bytes >= self._max_bytes

    def update(self, share: "BufferShare", difference: int) -> None:
        """Called by a share when its size has changed."""
        self.used_bytes += difference
        if share.drop is not None and share.size >= _MIN_DROPPED_BYTES:
            self._droppable.add(share)
        else:
            self._droppable.discard(share)
        if difference > 0 and not self._is_dropping:
            self._drop_largest()

    def _drop_largest(self) -> None:
        self._is_dropping = True
        try:
            while (
                self.used_bytes > _DROP_FACTOR * self._max_bytes
                and self._droppable
            ):
                largest = max(self._droppable, key=lambda item: item.size)
                drop, largest.drop = largest.drop, None
                largest.set(0)
                self._on_drop()
                drop()
        finally:
            self._is_dropping = False


class BufferShare:
    """What one buffer contributes to a meter.

    Args:
        meter: The meter.
        drop: Empties the buffer and ends what it is for, or None if that must
            not be done; may be changed before the size is set.

    Attributes:
        size: The size of the buffer in bytes.
    """

    def __init__(
        self, *, meter: BufferMeter, drop: Callable[[], None] | None = None
    ):
        self._meter = meter
        self.drop = drop
        self.size = 0

    def set(self, size: int) -> None:
        """Sets the size of the buffer in bytes."""
        difference = size - self.size
        self.size = size
        self._meter.update(self, difference)
