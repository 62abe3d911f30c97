"""A lease in the store on the right to order role changes."""

import json
import logging

from sassafrasstile import errors
from sassafrasstile import stores

_LOG = logging.getLogger("sassafrasstile.roles")
_KEY = "holder"


class LeaderLease:
    """Acquires and renews the right to order role changes.

    Each acquisition and renewal is a record that the store appends only if
    the topic still ends where this gateway last saw it end. The fencing token
    is derived from the record's offset, so a former holder can't get a higher
    token without noticing the new holder's record.

    Args:
        store: The store.
        topic: The topic of the lease.
        name: This gateway's name.

    Attributes:
        holder: The name of the gateway that holds the lease, or None when
            this isn't known or no gateway has held it yet.
    """

    def __init__(self, *, store: stores.Store, topic: str, name: str):
        self._store = store
        self._topic = topic
        self._name = name
        self._next_offset: int | None = None
        self.holder: str | None = None

    @property
    def is_held(self) -> bool:
        """True when the last record read or written names this gateway."""
        return self.holder == self._name

    async def read(self) -> None:
        """Reads from the store which gateway holds the lease.

        Raises:
            stores.StoreError: The store doesn't answer.
        """
        snapshot = await self._store.load(self._topic)
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
            self._next_offset = None
            self.holder = None
            raise
        self._next_offset = appended.offset + 1
        self.holder = self._name
        return appended.offset + 1

    @staticmethod
    def _decode(value: bytes) -> str | None:
        try:
            return str(json.loads(value))
        except ValueError as reason:
            _LOG.warning("roles: record ignored: %s", reason)
            return None


def is_conflict(reason: stores.StoreError) -> bool:
    """Returns whether the topic has grown since it was last read."""
    return reason.code == errors.Code.CONFLICT
