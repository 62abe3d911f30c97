"""Calls that may not be repeated, kept by key at the key's owner."""

from collections.abc import Callable
import dataclasses
import enum

from sassafrasstile import messages
from sassafrasstile.sidecar import _base

_EXPIRY_CHECK_INTERVAL_S = 5.0


class CallState(enum.Enum):
    """The state of a call."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(kw_only=True)
class KeyEntry:
    """An idempotency key and the state of its call.

    Attributes:
        key: The idempotency key.
        digest: A digest of the call, empty when only a claim is known.
        state: The call's state.
        call: The call, until it is settled.
        waiters: Attempts that wait for the answer.
        answer: The service's answer, or None.
        run_count: How often the call was sent to the service.
        claim_deadline: Kernel time at which the wait for a claim ends.
        expires_at: Kernel time from which the entry may be removed, or None.
    """

    key: str
    digest: str
    state: CallState
    call: messages.Call | None = None
    waiters: list[_base.AttemptId] = dataclasses.field(default_factory=list)
    answer: messages.CallAnswered | None = None
    run_count: int = 0
    claim_deadline: float = 0.0
    expires_at: float | None = None


class IdempotencyTable:
    """Entries by idempotency key.

    Args:
        retain_s: Seconds that a settled entry is kept. Must be longer than
            callers retry.
    """

    def __init__(self, *, retain_s: float):
        self.retain_s = retain_s
        self._entries: dict[str, KeyEntry] = {}
        # A separate index: it is read on every event, and the entries of
        # settled calls stay for as long as callers may retry.
        self._claiming: dict[str, KeyEntry] = {}
        self._next_check_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: str) -> KeyEntry | None:
        """Returns the entry of a key, or None."""
        return self._entries.get(key)

    def add(self, entry: KeyEntry) -> None:
        """Adds an entry."""
        self._entries[entry.key] = entry
        if entry.state is CallState.CLAIMING:
            self._claiming[entry.key] = entry

    def remove(self, key: str) -> None:
        """Removes an entry whose call is known not to have run."""
        self._entries.pop(key, None)
        self._claiming.pop(key, None)

    def settle(
        self, entry: KeyEntry, state: CallState, *, now: float
    ) -> list[_base.AttemptId]:
        """Gives an entry its final state.

        Returns:
            The attempts that waited for the answer.
        """
        self._claiming.pop(entry.key, None)
        entry.state = state
        entry.call = None
        entry.expires_at = now + self.retain_s
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def start_run(self, entry: KeyEntry) -> None:
        """Records that an entry's call is being sent to the service."""
        entry.state = CallState.RUNNING
        self._claiming.pop(entry.key, None)

    def list_claiming(self) -> list[KeyEntry]:
        """Returns the entries that wait for their claim, oldest first."""
        return list(self._claiming.values())

    def has_claiming(self) -> bool:
        """Returns whether any entry waits for its claim."""
        return bool(self._claiming)

    def remove_expired(
        self, *, now: float, must_retain: Callable[[str], bool]
    ) -> None:
        """Removes settled entries after the retention time.

        Args:
            now: Kernel time in seconds.
            must_retain: Returns whether the entry of a key must be kept
                longer.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + _EXPIRY_CHECK_INTERVAL_S
        old = [
            entry.key
            for entry in self._entries.values()
            if entry.expires_at is not None
            and now >= entry.expires_at
            and not must_retain(entry.key)
        ]
        for key in old:
            del self._entries[key]
