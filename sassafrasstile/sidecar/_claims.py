"""Keeps a service sidecar's place in its service's ownership stream.

One append is in flight at a time; keys that arrive meanwhile go into the
next record. A record counts once it is replayed, whatever became of the
answer to its append, and each record may safely be appended again.
"""

import enum
import logging

from sassafrasstile import ownership
from sassafrasstile.sidecar import _settings

_LOG = logging.getLogger("sassafrasstile.sidecar")


class Standing(enum.Enum):
    """What this sidecar may do with a key."""

    OWNER = "owner"
    OTHER = "other"
    UNAVAILABLE = "unavailable"


class ClaimKeeper:
    """Joins, claims keys, hands slots over and leaves.

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
        self._in_flight = False
        self._append_after = 0.0
        self._vms: frozenset[str] | None = None
        self._seen_vms: set[str] = set()
        self._read_at: float | None = None
        # Slots in a release that was ever sent. A late copy of it may take
        # effect at any time, so these run nothing without a claim again.
        self._offered: set[int] = set()

    # What others ask.

    def is_current(self) -> bool:
        """Says whether this incarnation is a member."""
        return self.state.is_usable() and self.state.is_member(
            endpoint=self.member.endpoint, incarnation=self.member.incarnation
        )

    def find_standing(self, key: str) -> Standing:
        """Says what this sidecar may do with a key."""
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
        """Says whether this incarnation has a valid claim on a key."""
        claim = self.state.find_claim(key)
        return claim is not None and (
            claim.incarnation == self.member.incarnation
        )

    def is_claimed_elsewhere(self, key: str) -> bool:
        """Says whether another incarnation has a valid claim on a key."""
        claim = self.state.find_claim(key)
        return claim is not None and (
            claim.incarnation != self.member.incarnation
        )

    def is_uncertain(self, key: str) -> bool:
        """Says whether a dead owner may have run a key without a claim."""
        since = self.state.uncertain_since[ownership.find_slot(key)]
        if since is None:
            return False
        return self.state.last_record_at - since < self.settings.key_lifetime_s

    def may_run_unlogged(self, key: str, now: float) -> bool:
        """Says whether a key may run without a claim.

        Ownership moves only by the owner's own release, by its successor at
        the same endpoint, or when its VM is gone; so an owner that sees no
        log is still the owner of what it never offered.

        Args:
            key: The key.
            now: Kernel time in seconds.
        """
        if not self.member.runs_unlogged or self._read_at is None:
            return False
        if now - self._read_at > self.settings.unlogged_limit_s:
            return False
        if ownership.find_slot(key) in self._offered:
            return False
        return self.find_standing(key) is Standing.OWNER

    def is_settled(self) -> bool:
        """Says whether every key that was asked for is claimed."""
        return not self._pending

    def is_out(self) -> bool:
        """Says whether this sidecar has left, or never joined."""
        return not self.state.is_member(
            endpoint=self.member.endpoint, incarnation=self.member.incarnation
        )

    def is_cut_off(self, now: float) -> bool:
        """Says whether the log is out of reach, so slots can't be handed on.

        Whoever starts next at this endpoint gets them; until then their keys
        wait.
        """
        if self._read_at is None:
            return True
        return now - self._read_at > self.settings.leave_wait_s

    # Inputs.

    def request(self, key: str) -> None:
        """Asks for a claim on a key."""
        self._pending[key] = None

    def withdraw(self, key: str) -> None:
        """Stops asking for a key whose call will not run."""
        self._pending.pop(key, None)

    def note_page(
        self,
        entries: tuple[ownership.LogEntry, ...],
        *,
        first: int,
        after: int,
        now: float,
    ) -> None:
        """Replays records.

        Args:
            entries: The records, in order.
            first: The oldest offset that the log keeps.
            after: The offset that the next record will get.
            now: Kernel time in seconds.
        """
        self._read_at = now
        if first > self.state.next_offset and self.is_current():
            self._lose_place(first)
        if first == after:
            self.state.start_empty(at=after)
        for entry in entries:
            self.state.apply(entry)
        self._caught_up = self.state.next_offset >= after
        for key in list(self._pending):
            if self.state.find_claim(key) is not None:
                del self._pending[key]

    def _lose_place(self, first: int) -> None:
        """Starts anew from a checkpoint after records were missed."""
        _LOG.warning(
            "sidecar %s: missed records before offset %d. Waits for a "
            "checkpoint.",
            self.member.endpoint,
            first,
        )
        self.state = ownership.OwnershipState(
            claim_retention_s=self.settings.key_lifetime_s
        )

    def note_vms(self, vms: frozenset[str]) -> None:
        """Notes the VMs that the platform says exist."""
        self._vms = vms
        self._seen_vms |= vms

    def finish_append(self, *, succeeded: bool, now: float) -> None:
        """Notes the end of an append."""
        self._in_flight = False
        if not succeeded:
            self._append_after = now + self.settings.append_again_s

    def choose_record(
        self, now: float, *, may_release: bool
    ) -> ownership.Record | None:
        """Returns the next record to append, or None.

        Args:
            now: Kernel time in seconds.
            may_release: False while slots must be kept, for calls that run
                or that ran without a claim.
        """
        if self._in_flight or now < self._append_after:
            return None
        if not self._caught_up or not self.state.is_usable():
            return None
        record = self._choose(may_release)
        self._in_flight = record is not None
        return record

    # Choice of the next record.

    def _choose(self, may_release: bool) -> ownership.Record | None:
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
            record = self._choose_balance()
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
        self._offered.update(slots)
        return ownership.Leave(
            endpoint=self.member.endpoint, incarnation=self.member.incarnation
        )

    def _choose_eviction(self) -> ownership.Evict | None:
        """Takes the slots of a member whose VM was there and is gone."""
        if self._vms is None:
            return None
        for name in self._list_others():
            member = self.state.members[name]
            if member.vm in self._vms or member.vm not in self._seen_vms:
                continue
            _LOG.info(
                "sidecar %s: takes the slots of %s. Reason: its VM %s is gone.",
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

    def _choose_balance(self) -> ownership.Release | None:
        """Hands slots to a member that has fewer than its share."""
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
        return self._make_release(successor, slots[:count])

    def _make_release(
        self, successor: str, slots: list[int]
    ) -> ownership.Release:
        self._offered.update(slots)
        _LOG.info(
            "sidecar %s: hands %d slots to %s.",
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
