import random
import unittest

from sassafrasstile import ownership


def _member(name, number=1, **parameters):
    return ownership.Member(
        endpoint=name,
        incarnation=f"{name}.{number}",
        vm=f"vm-{name}",
        **parameters,
    )


def _replay(records, *, first=0, times=None):
    state = ownership.OwnershipState(claim_retention_s=100.0)
    for offset, record in enumerate(records):
        if offset < first:
            continue
        state.apply(
            ownership.LogEntry(
                offset=offset,
                at=times[offset] if times else float(offset),
                body=ownership.encode_record(record),
            )
        )
    return state


def _claim(name, key, number=1):
    return ownership.Claim(
        endpoint=name, incarnation=f"{name}.{number}", keys=(key,)
    )


class ReplayTest(unittest.TestCase):
    def test_records_survive_encoding_and_decoding(self):
        member = _member("a")
        for record in (
            ownership.Join(member=member),
            _claim("a", "k"),
            ownership.Release(
                endpoint="a", incarnation="a.1", successor="b", slots=(1, 2)
            ),
            ownership.Leave(endpoint="a", incarnation="a.1"),
            ownership.Evict(endpoint="a", incarnation="a.1", successor="b"),
            ownership.Checkpoint(
                based_on=3, members=(member,), owners=("a", "")
            ),
        ):
            body = ownership.encode_record(record)
            self.assertEqual(ownership.decode_record(body), record)

    def test_first_claim_in_the_log_wins(self):
        state = _replay(
            [
                ownership.Join(member=_member("a")),
                _claim("a", "k"),
                ownership.Join(member=_member("a", 2)),
                _claim("a", "k", 2),
            ]
        )
        self.assertEqual(state.find_claim("k").incarnation, "a.1")

    def test_claim_of_a_sidecar_that_is_not_the_owner_is_ignored(self):
        state = _replay(
            [
                ownership.Join(member=_member("a")),
                ownership.Join(member=_member("b")),
                _claim("b", "k"),
                _claim("a", "k", 0),
            ]
        )
        self.assertIsNone(state.find_claim("k"))

    def test_repeated_records_change_nothing(self):
        records = [
            ownership.Join(member=_member("a")),
            ownership.Join(member=_member("b")),
            ownership.Release(
                endpoint="a",
                incarnation="a.1",
                successor="b",
                slots=tuple(range(32)),
            ),
            _claim("a", "k"),
        ]
        doubled = [record for record in records for _ in range(2)]
        once, twice = _replay(records), _replay(doubled)
        self.assertEqual(once.owners, twice.owners)
        self.assertEqual(once.members, twice.members)

    def test_successor_of_an_owner_that_runs_unlogged_is_uncertain(self):
        for unlogged in (False, True):
            state = _replay(
                [
                    ownership.Join(member=_member("a", runs_unlogged=unlogged)),
                    ownership.Join(member=_member("a", 2)),
                ]
            )
            self.assertEqual(state.uncertain_since[0] is not None, unlogged)

    def test_record_of_a_later_version_blocks_new_keys(self):
        state = _replay([ownership.Join(member=_member("a"))])
        state.apply(
            ownership.LogEntry(
                offset=1, at=1.0, body=b'{"kind": "Join", "version": 2}'
            )
        )
        self.assertFalse(state.is_usable())

    def test_reader_from_a_checkpoint_agrees_with_a_reader_from_the_start(
        self,
    ):
        for seed in range(30):
            generator = random.Random(seed)
            records = [ownership.Join(member=_member("a"))]
            full_state = _replay(records)
            checkpoint_at = None
            for number in range(40):
                record = self.make_record(generator, full_state, number)
                if number == 20:
                    checkpoint = full_state.make_checkpoint()
                    checkpoint_at = len(records)
                if number == 23:
                    record = checkpoint
                records.append(record)
                full_state = _replay(records)
            late_state = _replay(records, first=checkpoint_at)
            self.assertEqual(late_state.owners, full_state.owners)
            self.assertEqual(late_state.members, full_state.members)

    def make_record(self, generator, state, number):
        names = sorted(state.members)
        name = generator.choice(names)
        member = state.members[name]
        match generator.randrange(4):
            case 0:
                joined = generator.choice("abcd")
                return ownership.Join(member=_member(joined, number + 2))
            case 1:
                return ownership.Release(
                    endpoint=name,
                    incarnation=member.incarnation,
                    successor=generator.choice(names),
                    slots=tuple(generator.sample(range(64), 10)),
                )
            case 2:
                return _claim(name, f"k{number}", 1)
            case _:
                return ownership.Evict(
                    endpoint=generator.choice("abcd"),
                    incarnation="x",
                    successor=name,
                )

    def test_checkpoint_is_not_used_when_records_before_it_are_missing(self):
        state = _replay(
            [
                ownership.Join(member=_member("a")),
                ownership.Join(member=_member("b")),
                ownership.Checkpoint(
                    based_on=1, members=(_member("a"),), owners=("a",) * 64
                ),
            ],
            first=2,
        )
        self.assertFalse(state.is_usable())
