"""Compares the store's epoch in every answer."""

from collections.abc import Callable
import logging

from twisted.internet import defer
from twisted.python import failure

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile.stores import _base

_LOG = logging.getLogger("sassafrasstile.stores")
_MAX_WARNINGS_PER_S = 0.2
# After this many answers in a row with a lower epoch, the lower one is taken as
# current. Late answers are fewer, as few calls are open at once; so the higher
# epoch was wrong, and each further answer would be ignored.
_MAX_LOWER_ANSWERS = 20
# A store that was never restored has the epoch 0 or 1.
_FIRST_RESTORED_EPOCH = 2


def may_be_restored(epoch: int | None) -> bool:
    """Returns whether the store may have been restored before an epoch."""
    return epoch is not None and epoch >= _FIRST_RESTORED_EPOCH


class EpochMonitor:
    """Keeps the store's current epoch.

    Args:
        reactor: The reactor.

    Attributes:
        current: The current epoch, or None while no answer has stated one.
        may_be_restored: False while nothing shows that the store was restored.

    >>> from twisted.internet import task
    >>> monitor = EpochMonitor(reactor=task.Clock())
    >>> monitor.subscribe(lambda epoch: print("new epoch", epoch))
    >>> monitor.observe(3)
    True
    >>> monitor.observe(4)
    new epoch 4
    True
    >>> monitor.observe(3), monitor.observe(None), monitor.current
    (False, True, 4)
    """

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._listeners: list[Callable[[int], None]] = []
        self._lower_answers = 0
        self._warnings = limits.TokenBucket(rate_per_s=_MAX_WARNINGS_PER_S)
        self.current: int | None = None
        self.may_be_restored = False

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Adds a function to be called with each new epoch but the first."""
        self._listeners.append(listener)

    def observe(self, epoch: int | None) -> bool:
        """Compares the epoch of an answer with the current one.

        Args:
            epoch: The epoch, or None when the answer didn't state it.

        Returns:
            False when the answer is of an earlier epoch.
        """
        if epoch is None:
            return True
        if self.current is None:
            self.current = epoch
            self.may_be_restored = may_be_restored(epoch)
        elif epoch > self.current:
            self._change(epoch)
        elif epoch < self.current:
            return self._handle_lower(epoch)
        self._lower_answers = 0
        return True

    def _handle_lower(self, epoch: int) -> bool:
        self._lower_answers += 1
        if self._lower_answers < _MAX_LOWER_ANSWERS:
            if self._warnings.take(1, self._reactor.seconds()):
                _LOG.warning(
                    "store: an answer of an earlier epoch is ignored.",
                    extra={"epoch": epoch, "epoch_current": self.current},
                )
            return False
        self._lower_answers = 0
        self._change(epoch)
        return True

    def _change(self, epoch: int) -> None:
        before, self.current = self.current, epoch
        self.may_be_restored = True
        _LOG.warning(
            "store: the epoch changed from %s to %s, so topics are read again.",
            before,
            epoch,
            extra={"epoch_before": before, "epoch": epoch},
        )
        for listener in self._listeners:
            listener(epoch)


class EpochCheckedStore(_base.Store):
    """A store whose answers of earlier epochs count as failed calls.

    Args:
        store: The store that is called.
        epochs: Observes the epoch of each answer, before the caller gets it.
    """

    def __init__(self, *, store: _base.Store, epochs: EpochMonitor):
        self._store = store
        self._epochs = epochs

    def load(self, topic: str) -> defer.Deferred:
        """Reads the newest record of each key."""
        return self._check(self._store.load(topic))

    def follow(
        self, topic: str, *, offset: int, wait_s: float
    ) -> defer.Deferred:
        """Reads the records from an offset on."""
        return self._check(
            self._store.follow(topic, offset=offset, wait_s=wait_s)
        )

    def put(
        self, topic: str, *, key: str, value: bytes, at: int | None = None
    ) -> defer.Deferred:
        """Appends a record."""
        return self._check(self._store.put(topic, key=key, value=value, at=at))

    def close(self) -> None:
        """Closes every connection."""
        self._store.close()

    def _check(self, call: defer.Deferred) -> defer.Deferred:
        return call.addCallbacks(self._check_result, self._check_failure)

    def _check_result(self, result):
        if not self._epochs.observe(result.epoch):
            raise _base.StoreError(
                code=errors.Code.EPOCH_PASSED,
                detail="the answer is of an earlier epoch of the store",
                epoch=result.epoch,
            )
        return result

    def _check_failure(self, reason: failure.Failure) -> failure.Failure:
        if reason.check(_base.StoreError):
            self._epochs.observe(reason.value.epoch)
        return reason
