"""Passes stream origins on to other gateways until they confirm them."""

import collections
from collections.abc import Callable, Collection
import dataclasses
import itertools

from twisted.internet import interfaces
from twisted.internet import task

from sassafrasstile import limits
from sassafrasstile import peers
from sassafrasstile.streams import _base
from sassafrasstile.streams import _codec

_TURN_INTERVAL_S = 0.02
_MAX_DATAGRAMS_PER_TURN = 16
# Leaves room for the streams that begin meanwhile.
_MAX_DATAGRAMS_PER_S = 200.0
# Larger datagrams would be sent in fragments, and lost with any of them.
_MAX_TRANSFER_BYTES = 1200
# Digits and punctuation of an origin in a transfer.
_ROW_OVERHEAD_BYTES = 20
_CONFIRMATION_TIMEOUT_S = 0.1
_MAX_COPIES = 10
# A gateway that has confirmed nothing for this long isn't told. It may be one
# of an earlier version, which knows no transfers.
_MAX_SILENCE_S = 0.5
_MAX_WAITING = 10_000
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Batch:
    """Origins that were sent and aren't confirmed.

    Attributes:
        name: The gateway.
        keys: The keys of the streams.
        began_at: When they were sent first, in seconds.
        sent_at: When they were sent last, in seconds.
        copies: How often they were sent.
    """

    name: str
    keys: Collection[str]
    began_at: float = 0.0
    sent_at: float = 0.0
    copies: int = 0


class TransferQueue:
    """Sends origins in batches, at a bounded rate, until they are confirmed.

    Args:
        reactor: The reactor.
        messenger: Sends to the other gateways.
        describe: Returns what to pass on of a stream, or None when nobody can
            take it up any more.
    """

    def __init__(
        self,
        *,
        reactor,
        messenger: peers.Messenger,
        describe: Callable[[str], _base.OriginAnnouncement | None],
    ):
        self._reactor = reactor
        self._messenger = messenger
        self._describe = describe
        self._waiting: dict[str, collections.OrderedDict[str, None]] = {}
        self._unconfirmed: dict[int, _Batch] = {}
        self._confirmed_at: dict[str, float] = {}
        self._bucket = limits.TokenBucket(rate_per_s=_MAX_DATAGRAMS_PER_S)
        self._call: interfaces.IDelayedCall | None = None
        # Other numbers than those of the process before this one.
        self._numbers = itertools.count(round(reactor.seconds() * _US_PER_S))

    @property
    def is_empty(self) -> bool:
        """True when everything is confirmed or given up."""
        return not self._waiting and not self._unconfirmed

    def add(self, name: str, key: str) -> None:
        """Passes a stream's origin on to a gateway soon.

        Args:
            name: The gateway's name.
            key: The stream's key.
        """
        waiting = self._waiting.setdefault(name, collections.OrderedDict())
        waiting[key] = None
        if len(waiting) > _MAX_WAITING:
            waiting.popitem(last=False)
        self._schedule()

    def drop(self, name: str) -> None:
        """Gives up what a gateway hasn't confirmed."""
        self._waiting.pop(name, None)
        self._confirmed_at.pop(name, None)
        self._unconfirmed = {
            number: batch
            for number, batch in self._unconfirmed.items()
            if batch.name != name
        }

    def confirm(self, name: str, number: int) -> None:
        """Records that a gateway has received a batch."""
        batch = self._unconfirmed.get(number)
        if batch is not None and batch.name == name:
            del self._unconfirmed[number]
            self._confirmed_at[name] = self._now()

    async def finish(self, deadline: float) -> None:
        """Waits until everything is confirmed or given up.

        Args:
            deadline: When to stop waiting, in seconds.
        """
        while not self.is_empty and self._now() < deadline:
            await task.deferLater(self._reactor, _TURN_INTERVAL_S)

    def close(self) -> None:
        """Stops sending."""
        call, self._call = self._call, None
        if call is not None:
            call.cancel()
        self._waiting.clear()
        self._unconfirmed.clear()
        self._confirmed_at.clear()

    def _now(self) -> float:
        return self._reactor.seconds()

    def _schedule(self, delay_s: float = 0.0) -> None:
        if self._call is None and not self.is_empty:
            self._call = self._reactor.callLater(delay_s, self._send_some)

    def _send_some(self) -> None:
        self._call = None
        for _ in range(_MAX_DATAGRAMS_PER_TURN):
            batch = self._take_overdue() or self._take_waiting()
            if batch is None:
                break
            if not self._send(batch):
                self._put_back(batch)
                break
        self._schedule(_TURN_INTERVAL_S)

    def _take_overdue(self) -> _Batch | None:
        """Takes a batch that has to be sent again."""
        sent_before = self._now() - _CONFIRMATION_TIMEOUT_S
        for number, batch in list(self._unconfirmed.items()):
            if batch.sent_at > sent_before:
                # Those that follow were sent later.
                return None
            del self._unconfirmed[number]
            if self._is_silent(batch):
                self.drop(batch.name)
                return self._take_overdue()
            if batch.copies < _MAX_COPIES:
                return batch
        return None

    def _is_silent(self, batch: _Batch) -> bool:
        """Returns whether a batch's gateway has long confirmed nothing."""
        confirmed_at = self._confirmed_at.get(batch.name, batch.began_at)
        since = max(batch.began_at, confirmed_at)
        return self._now() - since >= _MAX_SILENCE_S

    def _take_waiting(self) -> _Batch | None:
        """Takes what fits into one datagram; the gateways take turns."""
        while self._waiting:
            name, waiting = next(iter(self._waiting.items()))
            del self._waiting[name]
            keys = self._take_keys(waiting)
            if waiting:
                self._waiting[name] = waiting
            if keys:
                return _Batch(name=name, keys=keys)
        return None

    def _take_keys(self, waiting: dict[str, None]) -> list[str]:
        keys: list[str] = []
        size = 0
        while waiting and size < _MAX_TRANSFER_BYTES:
            key, _ = waiting.popitem(last=False)
            item = self._describe(key)
            if item is None:
                continue
            size += _ROW_OVERHEAD_BYTES + len(key) + len(item.origin.service)
            size += len(item.origin.software_version)
            keys.append(key)
        return keys

    def _put_back(self, batch: _Batch) -> None:
        """Lets a batch that the rate limit held back wait, as the first."""
        waiting = self._waiting.pop(batch.name, collections.OrderedDict())
        for key in reversed(batch.keys):
            waiting[key] = None
            waiting.move_to_end(key, last=False)
        self._waiting = {batch.name: waiting, **self._waiting}

    def _send(self, batch: _Batch) -> bool:
        """Returns False when the rate limit holds a batch back."""
        now = self._now()
        items = [self._describe(key) for key in batch.keys]
        known = tuple(item for item in items if item is not None)
        if not known:
            return True
        if not self._bucket.take(1, now):
            return False
        number = next(self._numbers)
        transfer = _base.OriginTransfer(number=number, announcements=known)
        payload = _codec.encode_message(transfer)
        if not self._messenger.send([batch.name], payload):
            return False
        self._unconfirmed[number] = dataclasses.replace(
            batch,
            began_at=batch.began_at if batch.copies else now,
            sent_at=now,
            copies=batch.copies + 1,
        )
        return True
