"""Who may give orders: a term in the store, with a rising number."""

import json
import logging

from sassafrasstile import errors
from sassafrasstile import stores

_LOG = logging.getLogger("sassafrasstile.roles")
_KEY = "holder"


class TermHolder:
    """Claims and confirms the right to give orders.

    Each claim and each confirmation is a record that is only appended where
    the topic ends as this gateway last saw it. Its offset is the fencing
    number, so a former holder can't get a higher one unnoticed.

    Args:
        store: The store.
        topic: The topic.
        name: This gateway's name.
    """

    def __init__(self, *, store: stores.Store, topic: str, name: str):
        self._store = store
        self._topic = topic
        self._name = name
        self._end: int | None = None
        self.holder: str | None = None

    @property
    def is_held(self) -> bool:
        """True when the last record read or written names this gateway."""
        return self.holder == self._name

    async def read(self) -> None:
        """Reads who holds the term.

        Raises:
            stores.StoreError: The store doesn't answer.
        """
        snapshot = await self._store.load(self._topic)
        self._end = snapshot.next_offset
        self.holder = None
        for change in snapshot.entries:
            if change.key == _KEY and change.value is not None:
                self.holder = self._decode(change.value)

    async def write(self) -> int:
        """Claims the term, or confirms it.

        Returns:
            The fencing number.

        Raises:
            stores.StoreError: With CONFLICT when another gateway was first.
        """
        if self._end is None:
            await self.read()
        try:
            offset = await self._store.put(
                self._topic,
                key=_KEY,
                value=json.dumps(self._name).encode(),
                at=self._end,
            )
        except stores.StoreError:
            # It may be there all the same: to be read before the next one.
            self._end = None
            self.holder = None
            raise
        self._end = offset + 1
        self.holder = self._name
        return offset + 1

    @staticmethod
    def _decode(value: bytes) -> str | None:
        try:
            return str(json.loads(value))
        except ValueError as reason:
            _LOG.warning("roles: record not taken: %s", reason)
            return None


def is_conflict(reason: stores.StoreError) -> bool:
    """Says whether another gateway was first."""
    return reason.code == errors.Code.CONFLICT
