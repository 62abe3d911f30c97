"""A lease in the store on the right to order role changes."""

import json
import logging

from sassafrasstile import errors
from sassafrasstile import stores
from sassafrasstile import validation

_LOG = logging.getLogger("sassafrasstile.roles")
_KEY = "holder"
# A fencing token has the store's epoch above these bits and the record's offset
# below them, so tokens rise across a restore, where offsets fall back. An order
# a second takes half a year to fill these bits.
_OFFSET_BITS = 24


class LeaderLease:
    """Acquires and renews the right to order role changes.

    Each acquisition and renewal is a record that the store appends only if
    the topic still ends where this gateway last saw it end. The fencing token
    is derived from the store's epoch and the record's offset, so a former
    holder can't get a higher token without noticing the new holder's record.

    A restore of the store may lose acknowledged records. So a lease ends with
    the epoch in which it was acquired, and who acquires the next one can't know
    whether there was a holder.

    Args:
        store: The store.
        topic: The topic of the lease.
        name: This gateway's name.

    Attributes:
        holder: The name of the gateway that holds the lease, or None when
            this isn't known or no gateway has held it yet.
        may_have_been_lost: True when the record of another holder may have
            been lost in a restore of the store.
    """

    def __init__(self, *, store: stores.Store, topic: str, name: str):
        self._store = store
        self._topic = topic
        self._name = name
        self._next_offset: int | None = None
        self._epoch: int | None = None
        self._last_token = 0
        self.holder: str | None = None
        self.may_have_been_lost = False

    def start_epoch(self, epoch: int) -> None:
        """Gives up the lease, since the store was restored from a copy.

        Args:
            epoch: The store's new epoch.
        """
        if self.is_held:
            _LOG.info(
                "roles: gateway %s has given up the lease.",
                self._name,
                extra={"epoch_before": self._epoch, "epoch": epoch},
            )
        self._epoch = epoch
        self.may_have_been_lost = True
        self._forget()

    def _forget(self) -> None:
        """Forgets the holder, so that the topic is read again first."""
        self._next_offset = None
        self.holder = None

    @property
    def is_held(self) -> bool:
        """True when the last record read or written names this gateway."""
        return self.holder == self._name

    async def read(self) -> None:
        """Reads from the store which gateway holds the lease.

        Raises:
            stores.StoreError: The store doesn't answer, or was restored
                meanwhile.
        """
        epoch = self._epoch
        snapshot = await self._store.load(self._topic)
        if snapshot.epoch is None and epoch != self._epoch:
            raise _make_restored_error(self._epoch)
        self._record_epoch(snapshot.epoch)
        self._next_offset = snapshot.next_offset
        self.holder = None
        for change in snapshot.entries:
            if change.key == _KEY and change.value is not None:
                self.holder = self._decode(change.value)

    async def acquire(self) -> int:
        """Acquires the lease, or renews it.

        Returns:
            The fencing token.

        Raises:
            stores.StoreError: With CONFLICT when the topic hasn't been read,
                or has grown since it was last read or written, so that
                another gateway may hold the lease; with other codes when the
                store doesn't answer.
        """
        if self._next_offset is None:
            raise stores.StoreError(
                code=errors.Code.CONFLICT, detail="the lease hasn't been read"
            )
        try:
            appended = await self._store.put(
                self._topic,
                key=_KEY,
                value=json.dumps(self._name).encode(),
                at=self._next_offset,
            )
        except stores.StoreError:
            # The record may have been appended nevertheless, so the topic is
            # read again before the next attempt.
            self._forget()
            raise
        is_same_epoch = appended.epoch in (None, self._epoch)
        if self._next_offset is None or not is_same_epoch:
            # The store was restored after the topic was read, so the record
            # proves nothing about what it follows.
            self._record_epoch(appended.epoch)
            self._forget()
            raise _make_restored_error(appended.epoch)
        self._next_offset = appended.offset + 1
        self.holder = self._name
        return self._make_token(appended.offset)

    def _record_epoch(self, epoch: int | None) -> None:
        if epoch is None:
            return
        self._epoch = epoch
        if stores.may_be_restored(epoch):
            self.may_have_been_lost = True

    def _make_token(self, offset: int) -> int:
        """Returns a token above all earlier ones of this gateway."""
        token = ((self._epoch or 0) << _OFFSET_BITS) + offset + 1
        self._last_token = max(token, self._last_token + 1)
        return self._last_token

    @staticmethod
    def _decode(value: bytes) -> str | None:
        try:
            return validation.check_token(json.loads(value), label="holder")
        except (*validation.DOCUMENT_ERRORS, errors.Error) as reason:
            _LOG.warning("roles: record ignored: %s", reason)
            return None


def _make_restored_error(epoch: int | None) -> stores.StoreError:
    return stores.StoreError(
        code=errors.Code.CONFLICT,
        detail="the store was restored from a copy",
        epoch=epoch,
    )


def is_conflict(reason: stores.StoreError) -> bool:
    """Returns whether the topic has grown since it was last read."""
    return reason.code == errors.Code.CONFLICT
