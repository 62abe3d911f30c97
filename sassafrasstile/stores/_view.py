"""A view of a keyed topic that ignores out-of-date records."""

from sassafrasstile.stores import _base


class KeyedView:
    """Detects which records are newer than those already seen.

    Reads may be out of date after an outage, so a record is ignored unless
    its offset is higher than that of the last record seen of its key in the
    same epoch of the store.

    >>> view = KeyedView()
    >>> new = _base.Change(key="a", value=b"2", offset=5)
    >>> old = _base.Change(key="a", value=b"1", offset=3)
    >>> view.apply(new), view.apply(old)
    (True, False)
    >>> snapshot = _base.Snapshot(entries=(), next_offset=4)
    >>> view.find_missing(snapshot)
    []
    >>> view.find_missing(_base.Snapshot(entries=(), next_offset=6))
    ['a']
    >>> view.forget_offsets()
    >>> view.find_missing(snapshot), view.apply(old)
    (['a'], True)
    """

    def __init__(self):
        self._offsets: dict[str, int] = {}
        self._present: set[str] = set()

    def apply(self, change: _base.Change) -> bool:
        """Applies a record.

        Returns:
            False when the record isn't newer than the last one of its key.
        """
        if change.offset <= self._offsets.get(change.key, -1):
            return False
        self._offsets[change.key] = change.offset
        if change.value is None:
            self._present.discard(change.key)
        else:
            self._present.add(change.key)
        return True

    def find_missing(self, snapshot: _base.Snapshot) -> list[str]:
        """Returns the known keys that a snapshot proves to be removed."""
        listed = {change.key for change in snapshot.entries}
        return sorted(
            key
            for key in self._present
            if key not in listed
            and self._offsets.get(key, -1) < snapshot.next_offset
        )

    def forget_offsets(self) -> None:
        """Keeps the keys, but compares no offset with those seen so far."""
        self._offsets.clear()

    def mark_removed(self, key: str) -> None:
        """Records that a key was removed."""
        self._present.discard(key)
