"""Replays ownership records, whose order in the log decides who owns a key."""

import collections
import dataclasses
import hashlib
import logging

from sassafrasstile import errors
from sassafrasstile.ownership import _records

_LOG = logging.getLogger("sassafrasstile.ownership")
SLOT_COUNT = 64


def find_slot(key: str) -> int:
    """Returns the slot of an idempotency key."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % SLOT_COUNT


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimState:
    """A claim on an idempotency key.

    Attributes:
        endpoint: The endpoint that may run the call.
        incarnation: Its incarnation, or an empty string when the claim's
            validity can't be determined.
        at: When the claim was appended, in seconds of the log's clock.
    """

    endpoint: str
    incarnation: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingRecord:
    """A record that is kept until a checkpoint has been loaded."""

    offset: int
    at: float
    record: _records.Record


class OwnershipState:
    """The state of a service's ownership stream up to an offset.

    Args:
        claim_retention_s: Seconds of the log's clock that a claim is kept.

    Attributes:
        next_offset: The offset of the next record to apply.
        members: The members by endpoint.
        owners: The owner's endpoint of each slot, or an empty string.
        uncertain_since: For each slot, when a dead owner that may have run
            calls without a claim was replaced, in seconds of the log's
            clock, or None.
        certain_from: For each slot, the offset after the last record by
            which such an owner was replaced. The owner was dead before the
            log reached this offset, so a call sent later can't have run
            there.
        loss_offset: The highest offset in `certain_from`.
        blocked: True once a record of a later version was read.
        checkpointed_at: When the last checkpoint was appended, in seconds
            of the log's clock.
        last_record_at: When the last record was appended, in seconds of
            the log's clock.
    """

    def __init__(self, *, claim_retention_s: float):
        self.claim_retention_s = claim_retention_s
        self.next_offset = 0
        self.members: dict[str, _records.Member] = {}
        self.owners: list[str] = [""] * SLOT_COUNT
        self.uncertain_since: list[float | None] = [None] * SLOT_COUNT
        self.certain_from: list[int] = [0] * SLOT_COUNT
        self.loss_offset = 0
        self.blocked = False
        self.checkpointed_at = 0.0
        self.last_record_at = 0.0
        self._started = False
        self._pending_records: list[_PendingRecord] = []
        self._claims: collections.OrderedDict[str, ClaimState] = (
            collections.OrderedDict()
        )

    def is_usable(self) -> bool:
        """Returns whether the state may be relied on.

        It may not once a record of a later version was read, or while older
        records have expired and no checkpoint has been loaded yet.
        """
        return self._started and not self.blocked

    def find_claim(self, key: str) -> ClaimState | None:
        """Returns the claim on a key, or None."""
        return self._claims.get(key)

    def find_owner(self, key: str) -> _records.Member | None:
        """Returns the owner of a key, or None."""
        return self.members.get(self.owners[find_slot(key)])

    def is_member(self, *, endpoint: str, incarnation: str) -> bool:
        """Returns whether an incarnation is its endpoint's current one."""
        member = self.members.get(endpoint)
        return member is not None and member.incarnation == incarnation

    def list_slots(self, endpoint: str) -> list[int]:
        """Returns the slots that an endpoint owns."""
        return [
            slot for slot, owner in enumerate(self.owners) if owner == endpoint
        ]

    def find_claimed_slots(self) -> set[int]:
        """Returns the slots that a claimed key belongs to."""
        return {find_slot(key) for key in self._claims}

    def start_empty(self, *, at: int = 0) -> None:
        """Starts without records: the stream is new, or all have expired.

        Args:
            at: The offset that the next record will get. Above zero, every
                slot is uncertain, since dead owners may have run calls of
                which no record is left.
        """
        if self._started:
            return
        self._started = True
        self.next_offset = at
        if at > 0:
            self._mark_uncertain(list(range(SLOT_COUNT)), self.last_record_at)

    def apply(self, entry: _records.LogEntry) -> None:
        """Applies the next record.

        Args:
            entry: The record as read from the log.

        Raises:
            errors.InvariantError: `log_in_order` when records are skipped
                after the replay has started.
        """
        offset = entry.offset
        at = entry.at
        if offset < self.next_offset:
            return
        if offset > self.next_offset and self._started:
            raise errors.InvariantError(
                name="log_in_order",
                detail=f"offset {offset} follows offset {self.next_offset - 1}",
            )
        if offset == 0:
            self._started = True
        self.next_offset = offset + 1
        self.last_record_at = at
        record = _records.decode_record(entry.body)
        if record is None:
            _LOG.error(
                "ownership: the record at offset %d has a later version. New "
                "keys are refused.",
                offset,
            )
            self.blocked = True
            return
        if not self._started:
            self._pending_records.append(
                _PendingRecord(offset=offset, at=at, record=record)
            )
            if isinstance(record, _records.Checkpoint):
                self._load_checkpoint(record, at)
            return
        self._apply_record(record, at)
        self._drop_expired_claims(at)

    def _apply_record(self, record: _records.Record, at: float) -> None:
        match record:
            case _records.Checkpoint():
                self.checkpointed_at = at
            case _records.Join():
                self._join(record.member, at)
            case _records.Claim():
                self._claim(record, at)
            case _records.Release():
                self._release(record)
            case _records.Leave():
                self._leave(record)
            case _records.Evict():
                self._evict(record, at)

    def _join(self, member: _records.Member, at: float) -> None:
        former = self.members.get(member.endpoint)
        if former is not None and former.incarnation == member.incarnation:
            return
        self.members[member.endpoint] = member
        if former is not None and former.runs_unlogged:
            self._mark_uncertain(self.list_slots(member.endpoint), at)
        for slot, owner in enumerate(self.owners):
            if owner == "":
                self.owners[slot] = member.endpoint

    def _claim(self, record: _records.Claim, at: float) -> None:
        if not self.is_member(
            endpoint=record.endpoint, incarnation=record.incarnation
        ):
            return
        for key in record.keys:
            owns = self.owners[find_slot(key)] == record.endpoint
            if owns and key not in self._claims:
                self._claims[key] = ClaimState(
                    endpoint=record.endpoint,
                    incarnation=record.incarnation,
                    at=at,
                )

    def _release(self, record: _records.Release) -> None:
        if record.successor not in self.members:
            return
        if not self.is_member(
            endpoint=record.endpoint, incarnation=record.incarnation
        ):
            return
        for slot in record.slots:
            if self.owners[slot] == record.endpoint:
                self.owners[slot] = record.successor

    def _leave(self, record: _records.Leave) -> None:
        if not self.is_member(
            endpoint=record.endpoint, incarnation=record.incarnation
        ):
            return
        for slot in self.list_slots(record.endpoint):
            self.owners[slot] = ""
        del self.members[record.endpoint]

    def _evict(self, record: _records.Evict, at: float) -> None:
        if record.successor not in self.members:
            return
        if not self.is_member(
            endpoint=record.endpoint, incarnation=record.incarnation
        ):
            return
        slots = self.list_slots(record.endpoint)
        for slot in slots:
            self.owners[slot] = record.successor
        if self.members[record.endpoint].runs_unlogged:
            self._mark_uncertain(slots, at)
        del self.members[record.endpoint]

    def _mark_uncertain(self, slots: list[int], at: float) -> None:
        """Records that a dead owner may have run calls without a claim."""
        for slot in slots:
            self.uncertain_since[slot] = at
            self.certain_from[slot] = self.next_offset
        if slots:
            self.loss_offset = self.next_offset

    def _load_checkpoint(self, record: _records.Checkpoint, at: float) -> None:
        """Starts from a checkpoint if no record since its offset is missing."""
        if self._pending_records[0].offset > record.based_on:
            return
        self._started = True
        self.members = {member.endpoint: member for member in record.members}
        self.owners = list(record.owners)
        self.checkpointed_at = at
        # Expired records may have marked any slot as uncertain.
        self._mark_uncertain(list(range(SLOT_COUNT)), at)
        for pending in self._pending_records:
            if pending.offset >= record.based_on:
                self._apply_record(pending.record, pending.at)
            elif isinstance(pending.record, _records.Claim):
                self._record_unverified_claim(pending.record, pending.at)
        self._pending_records.clear()

    def _record_unverified_claim(
        self, record: _records.Claim, at: float
    ) -> None:
        """Keeps a claim whose validity can no longer be determined."""
        for key in record.keys:
            claim = ClaimState(endpoint=record.endpoint, incarnation="", at=at)
            self._claims.setdefault(key, claim)

    def make_checkpoint(self) -> _records.Checkpoint:
        """Returns the state as a record."""
        members = sorted(
            self.members.values(), key=lambda member: member.endpoint
        )
        return _records.Checkpoint(
            based_on=self.next_offset,
            members=tuple(members),
            owners=tuple(self.owners),
        )

    def _drop_expired_claims(self, at: float) -> None:
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.at > at - self.claim_retention_s:
                return
            del self._claims[key]
