"""A service sidecar's membership, slots and claims in the ownership stream.

One append is in flight at a time; keys that arrive meanwhile go into the
next record. A record takes effect when it is replayed, whatever the result of
its append was, and appending a record again is safe.
"""

import enum
import logging

from sassafrasstile import ownership
from sassafrasstile.sidecar import _settings

_LOG = logging.getLogger("sassafrasstile.sidecar")


class Standing(enum.Enum):
    """Whether this sidecar owns a key."""

    OWNER = "owner"
    OTHER = "other"
    UNAVAILABLE = "unavailable"


class ClaimManager:
    """Chooses the records by which a sidecar joins, claims keys and leaves.

    Args:
        member: This sidecar.
        settings: Times and sizes.
    """

    def __init__(
        self, *, member: ownership.Member, settings: _settings.ClaimSettings
    ):
        self.member = member
        self.settings = settings
        self.state = ownership.OwnershipState(
            claim_retention_s=settings.key_lifetime_s
        )
        self.leaving = False
        self._pending: dict[str, None] = {}
        self._caught_up = False
        self._append_in_flight = False
        self._next_append_at = 0.0
        self._vms: frozenset[str] | None = None
        self._seen_vms: set[str] = set()
        self._last_page_at: float | None = None
        # Slots of every release or leave record ever sent. A late copy of the
        # record may take effect at any time, so keys in these slots never run
        # without a claim again.
        self._released_slots: set[int] = set()

    # Queries.

    def is_current(self) -> bool:
        """Returns whether this incarnation is a member of a usable state."""
        return self.state.is_usable() and self.state.is_member(
            endpoint=self.member.endpoint, incarnation=self.member.incarnation
        )

    def find_standing(self, key: str) -> Standing:
        """Returns whether this sidecar, another one or none owns a key."""
        if not self.is_current():
            return Standing.UNAVAILABLE
        owner = self.state.find_owner(key)
        if owner is None:
            return Standing.UNAVAILABLE
        if owner.endpoint == self.member.endpoint:
            return Standing.OWNER
        return Standing.OTHER

    def find_owner_name(self, key: str) -> str:
        """Returns the name of a key's owner, or an empty string."""
        owner = self.state.find_owner(key)
        return "" if owner is None else owner.endpoint

    def is_claimed_here(self, key: str) -> bool:
        """Returns whether this incarnation has a valid claim on a key."""
        claim = self.state.find_claim(key)
        return claim is not None and (
            claim.incarnation == self.member.incarnation
        )

    def is_claimed_elsewhere(self, key: str) -> bool:
        """Returns whether another incarnation has or may have claimed a key."""
        claim = self.state.find_claim(key)
        return claim is not None and (
            claim.incarnation != self.member.incarnation
        )

    def is_uncertain(self, key: str) -> bool:
        """Returns whether a dead owner may have run a key without a claim."""
        since = self.state.uncertain_since[ownership.find_slot(key)]
        if since is None:
            return False
        return self.state.last_record_at - since < self.settings.key_lifetime_s

    def precedes_loss(self, key: str, known_loss_offset: int) -> bool:
        """Returns whether a call may be older than the loss of its owner.

        While such a call waited, the dead owner may have run a later call
        with its key without a claim.

        Args:
            key: The key.
            known_loss_offset: The loss offset that the call's gateway knew
                before it received the call.
        """
        certain_from = self.state.certain_from[ownership.find_slot(key)]
        return self.is_uncertain(key) and known_loss_offset < certain_from

    def may_run_unlogged(self, key: str, now: float) -> bool:
        """Returns whether a key may run without a claim.

        Ownership moves only by the owner's own release, by the join of its
        successor at the same endpoint, or when its VM is gone. So an owner
        that can't read the log still owns every slot it never released.

        Args:
            key: The key.
            now: Kernel time in seconds.
        """
        if not self.member.runs_unlogged or self._last_page_at is None:
            return False
        if now - self._last_page_at > self.settings.unlogged_limit_s:
            return False
        if ownership.find_slot(key) in self._released_slots:
            return False
        return self.find_standing(key) is Standing.OWNER

    def is_settled(self) -> bool:
        """Returns whether every requested claim is replayed."""
        return not self._pending

    def is_not_member(self) -> bool:
        """Returns whether this sidecar has left or never joined."""
        return not self.state.is_member(
            endpoint=self.member.endpoint, incarnation=self.member.incarnation
        )

    def is_log_unreachable(self, now: float) -> bool:
        """Returns whether the log is unreachable, so slots can't be released.

        The next incarnation at this endpoint gets the slots; until then their
        keys wait.
        """
        if self._last_page_at is None:
            return True
        return now - self._last_page_at > self.settings.leave_wait_s

    # Inputs.

    def request_claim(self, key: str) -> None:
        """Requests a claim on a key."""
        self._pending[key] = None

    def withdraw_claim(self, key: str) -> None:
        """Withdraws the request for a claim whose call will not run."""
        self._pending.pop(key, None)

    def replay_page(
        self,
        entries: tuple[ownership.LogEntry, ...],
        *,
        first: int,
        after: int,
        now: float,
    ) -> None:
        """Replays a page of records.

        Args:
            entries: The records, in order.
            first: The oldest offset that the log keeps.
            after: The offset that the next record will get.
            now: Kernel time in seconds.
        """
        self._last_page_at = now
        if first > self.state.next_offset and self.is_current():
            self._reset_state(first)
        if first == after:
            self.state.start_empty(at=after)
        for entry in entries:
            self.state.apply(entry)
        self._caught_up = self.state.next_offset >= after
        for key in list(self._pending):
            if self.state.find_claim(key) is not None:
                del self._pending[key]

    def _reset_state(self, first: int) -> None:
        """Resets the state, to wait for a checkpoint after missed records."""
        _LOG.warning(
            "sidecar %s: missed records before offset %d. Waiting for "
            "a checkpoint.",
            self.member.endpoint,
            first,
        )
        self.state = ownership.OwnershipState(
            claim_retention_s=self.settings.key_lifetime_s
        )

    def update_vms(self, vms: frozenset[str]) -> None:
        """Updates the VMs that exist according to the platform."""
        self._vms = vms
        self._seen_vms |= vms

    def finish_append(self, *, succeeded: bool, now: float) -> None:
        """Records the end of an append."""
        self._append_in_flight = False
        if not succeeded:
            self._next_append_at = now + self.settings.append_again_s

    def choose_record(
        self, now: float, *, may_release: bool
    ) -> ownership.Record | None:
        """Returns the next record to append, or None.

        Args:
            now: Kernel time in seconds.
            may_release: False while slots must be kept because of calls that
                wait for a claim, run, or ran without a claim.
        """
        if self._append_in_flight or now < self._next_append_at:
            return None
        if not self._caught_up or not self.state.is_usable():
            return None
        record = self._choose_next_record(may_release)
        self._append_in_flight = record is not None
        return record

    # Choosing the next record.

    def _choose_next_record(self, may_release: bool) -> ownership.Record | None:
        if not self.is_current():
            if self.leaving:
                return None
            return ownership.Join(member=self.member)
        if self._pending:
            return self._make_claim()
        if self.leaving:
            return self._choose_departure() if may_release else None
        record = self._choose_eviction()
        if record is None and may_release:
            record = self._choose_rebalance()
        return record or self._choose_checkpoint()

    def _make_claim(self) -> ownership.Claim:
        keys = list(self._pending)[: self.settings.claims_per_record]
        return ownership.Claim(
            endpoint=self.member.endpoint,
            incarnation=self.member.incarnation,
            keys=tuple(keys),
        )

    def _list_others(self) -> list[str]:
        return sorted(
            name for name in self.state.members if name != self.member.endpoint
        )

    def _choose_departure(self) -> ownership.Record:
        slots = self.state.list_slots(self.member.endpoint)
        others = self._list_others()
        if slots and others:
            successor = min(others, key=self._count_slots)
            return self._make_release(successor, slots)
        self._released_slots.update(slots)
        return ownership.Leave(
            endpoint=self.member.endpoint, incarnation=self.member.incarnation
        )

    def _choose_eviction(self) -> ownership.Evict | None:
        """Takes the slots of a member whose VM existed and is gone."""
        if self._vms is None:
            return None
        for name in self._list_others():
            member = self.state.members[name]
            if member.vm in self._vms or member.vm not in self._seen_vms:
                continue
            _LOG.info(
                "sidecar %s: evicts %s and takes its slots. Reason: its VM %s "
                "is gone.",
                self.member.endpoint,
                name,
                member.vm,
            )
            return ownership.Evict(
                endpoint=name,
                incarnation=member.incarnation,
                successor=self.member.endpoint,
            )
        return None

    def _choose_rebalance(self) -> ownership.Release | None:
        """Releases slots to a member that has fewer than its share.

        The new owner doesn't know the answers of earlier calls, so slots
        without a claim go first.
        """
        others = self._list_others()
        if not others:
            return None
        share = ownership.SLOT_COUNT // (len(others) + 1)
        slots = self.state.list_slots(self.member.endpoint)
        successor = min(others, key=self._count_slots)
        missing = share - self._count_slots(successor)
        count = min(missing, len(slots) - share)
        if count <= 0:
            return None
        claimed = self.state.find_claimed_slots()
        slots.sort(key=lambda slot: slot in claimed)
        return self._make_release(successor, slots[:count])

    def _make_release(
        self, successor: str, slots: list[int]
    ) -> ownership.Release:
        self._released_slots.update(slots)
        _LOG.info(
            "sidecar %s: releases %d slots to %s.",
            self.member.endpoint,
            len(slots),
            successor,
        )
        return ownership.Release(
            endpoint=self.member.endpoint,
            incarnation=self.member.incarnation,
            successor=successor,
            slots=tuple(slots),
        )

    def _choose_checkpoint(self) -> ownership.Checkpoint | None:
        first = min(self.state.members, default="")
        if first != self.member.endpoint:
            return None
        age_s = self.state.last_record_at - self.state.checkpointed_at
        if age_s < self.settings.checkpoint_s:
            return None
        return self.state.make_checkpoint()

    def _count_slots(self, endpoint: str) -> int:
        return len(self.state.list_slots(endpoint))
