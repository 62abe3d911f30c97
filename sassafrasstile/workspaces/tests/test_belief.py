import logging
import math
import random
import unittest
from unittest import mock

from sassafrasstile import workspaces
from sassafrasstile.workspaces import _belief
from sassafrasstile.workspaces.tests import fleet

_BOUND_S = fleet.BOUND_S
_SETTLE_S = 6.0
# A configuration that the store has lost is written again by then.
_REWRITE_S = 5.0


class KeyBeliefTest(unittest.TestCase):
    """How old the belief in keys is, by each kind of confirmation."""

    def setUp(self):
        self.version = 3
        self.now = 100.0
        self.is_reliable = True
        self.belief = workspaces.KeyBelief(
            read_version=lambda: self.version,
            read_time_s=lambda: self.now,
            may_rely_on_store=lambda: self.is_reliable,
        )

    def answer(self, *, version=3, age_s=1.0, asked_at=99.0):
        return self.belief.record_answer(
            version=version, age_s=age_s, asked_at=asked_at, gateway="g"
        )

    def test_nothing_is_believed_before_the_first_confirmation(self):
        self.assertEqual(self.belief.measure_age_s(), math.inf)
        self.version = None
        self.belief.record_call(99.0)
        self.assertEqual(self.belief.measure_age_s(), math.inf)

    def test_slow_answer_of_the_store_is_as_old_as_its_call(self):
        self.belief.record_call(95.5)
        self.assertEqual(self.belief.measure_age_s(), 4.5)

    def test_answer_that_is_overtaken_makes_nothing_older(self):
        self.belief.record_call(99.0)
        self.belief.record_call(95.0)
        self.answer(asked_at=97.0)
        self.assertEqual(self.belief.measure_age_s(), 1.0)

    def test_another_gateway_s_age_is_added(self):
        self.assertEqual(self.answer(), _belief.Outcome.CONFIRMED)
        self.assertEqual(self.belief.measure_age_s(), 2.0)
        self.assertEqual(self.belief.newest.gateway, "g")

    def test_other_versions_confirm_nothing(self):
        self.assertEqual(self.answer(version=2), _belief.Outcome.OLDER)
        self.assertEqual(self.answer(version=4), _belief.Outcome.NEWER)
        self.assertEqual(self.answer(age_s=math.inf), _belief.Outcome.NOTHING)
        self.assertEqual(self.belief.measure_age_s(), math.inf)

    def test_nothing_is_confirmed_while_a_peer_has_a_newer_version(self):
        self.belief.record_peer_version(4)
        self.belief.record_peer_version(None)
        self.belief.record_call(99.0)
        self.assertEqual(self.answer(), _belief.Outcome.NEWER)
        self.assertEqual(self.belief.measure_age_s(), math.inf)
        self.version = 4
        self.belief.record_call(99.0)
        self.assertEqual(self.belief.measure_age_s(), 1.0)

    # It may have been lost with the store's newest records and that peer.
    def test_newer_version_counts_while_a_peer_reports_it(self):
        for _ in range(3):
            self.belief.record_peer_version(4)
            self.belief.record_peer_version(3)
            self.now += 19.0
            self.belief.record_call(self.now)
            self.assertEqual(self.belief.measure_age_s(), math.inf)
        self.now += 2.0
        self.belief.record_call(self.now)
        self.assertEqual(self.belief.measure_age_s(), 0.0)

    def test_restored_store_confirms_nothing_until_peers_have_reported(self):
        self.is_reliable = False
        self.belief.record_call(99.0)
        self.assertEqual(self.belief.measure_age_s(), math.inf)
        self.is_reliable = True
        self.belief.record_call(99.0)
        self.assertEqual(self.belief.measure_age_s(), 1.0)


class _FleetTestCase(unittest.TestCase):
    """Gateways that have confirmed their keys; the first two call the store."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def start(self, count, **options):
        self.fleet = fleet.Fleet(count, **options)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.fleet.run(_SETTLE_S)
        self.fleet.answers.clear()
        self.fleet.store.calls.clear()

    def get(self, number):
        return self.fleet.gateways[f"g{number:03}"]

    def list_allowing(self, version=1):
        return [
            name
            for name, gateway in self.fleet.gateways.items()
            if gateway.allows(version)
        ]

    def measure_oldest_s(self, seconds):
        """Returns the greatest age of any gateway within a time."""
        oldest_s = 0.0

        def check(gateway):
            nonlocal oldest_s
            oldest_s = max(oldest_s, gateway.belief.measure_age_s())

        self.fleet.check = check
        self.fleet.run(seconds)
        return oldest_s


class WithdrawnKeyTest(_FleetTestCase):
    """A key is withdrawn while something fails."""

    def test_all_in_touch_hear_of_it(self):
        self.start(6)
        self.fleet.store.write()
        self.fleet.run(3.0)
        self.assertEqual(self.list_allowing(1), [])
        self.assertEqual(len(self.list_allowing(2)), 6)

    def test_gateway_that_is_cut_off_ages_by_itself(self):
        self.start(6)
        name = "g004"
        self.fleet.cut.add(name)
        self.fleet.store.turned_away.add(name)
        self.fleet.store.write()
        self.fleet.run(_BOUND_S + 0.01)
        self.assertEqual(self.list_allowing(1), [])
        self.assertEqual(self.get(4).lapses, 1)
        self.fleet.cut.clear()
        self.fleet.store.turned_away.clear()
        self.fleet.run(3.0)
        self.assertTrue(self.get(4).allows(2))

    def test_gateway_that_the_store_turns_away_is_confirmed_by_others(self):
        for number in (0, 1, 4):
            with self.subTest(number=number):
                self.start(6)
                self.fleet.store.turned_away.add(f"g{number:03}")
                self.assertLess(self.measure_oldest_s(30.0), _BOUND_S)

    def test_a_third_of_the_gateways_is_turned_away_with_both_watchers(self):
        self.start(24)
        self.fleet.store.turned_away.update(self.fleet.names[:8])
        self.assertLess(self.measure_oldest_s(30.0), _BOUND_S)

    # The steady clock may stand still meanwhile; a send may be the first thing
    # that happens after.
    def test_frozen_gateway_relies_on_nothing_when_it_goes_on(self):
        for is_suspended in (False, True):
            with self.subTest(is_suspended=is_suspended):
                self.start(6)
                gateway = self.get(4)
                self.fleet.freeze("g004", 6.0, is_suspended=is_suspended)
                self.fleet.store.write()
                self.fleet.run(5.9)
                self.assertFalse(gateway.allows(1))
                self.fleet.run(3.0)
                self.assertFalse(gateway.allows(1))
                self.assertTrue(gateway.allows(2))

    # The answer that waited is as old as its question.
    def test_answer_that_waited_at_a_frozen_gateway_is_old(self):
        self.start(6)
        gateway = self.get(4)
        sent = gateway.sent
        while gateway.sent == sent:
            self.fleet.run(0.01)
        self.fleet.freeze("g004", 6.0, is_suspended=True)
        self.fleet.run(1.0)
        self.assertTrue(gateway.inbox)
        self.fleet.cut.add("g004")
        self.fleet.store.turned_away.add("g004")
        self.fleet.store.write()
        self.fleet.run(5.2)
        self.assertFalse(gateway.inbox)
        self.assertGreater(gateway.belief.measure_age_s(), _BOUND_S)

    def test_gateway_that_starts_in_an_outage_believes_nothing(self):
        self.start(3)
        self.fleet.stop("g002")
        self.fleet.store.turned_away.update(self.fleet.names)
        self.fleet.start("g002")
        self.fleet.run(3.0)
        self.assertEqual(self.get(2).belief.measure_age_s(), math.inf)

    def test_others_whose_belief_is_old_confirm_little(self):
        self.start(6)
        self.fleet.store.turned_away.update(self.fleet.names)
        self.fleet.store.write()
        self.fleet.run(_BOUND_S + 0.01)
        self.assertEqual(self.list_allowing(1), [])

    def test_slow_answers_of_the_store_confirm_when_they_were_asked_for(self):
        self.start(6)
        self.fleet.store.delay_s = 0.35
        self.fleet.run(4.0)
        self.assertLess(self.measure_oldest_s(20.0), _BOUND_S)
        self.assertGreater(self.get(0).belief.measure_age_s(), 0.35)

    def test_no_gateway_of_a_chain_is_younger_than_those_before_it(self):
        self.start(24)
        self.fleet.delay_s = 0.02
        roots = (self.get(0), self.get(1))

        def check(gateway):
            newest = max(root.belief.newest.at for root in roots)
            self.assertLessEqual(gateway.belief.newest.at, newest)

        self.fleet.check = check
        self.fleet.run(3.0)
        sources = {
            gateway.belief.newest.source
            for gateway in self.fleet.gateways.values()
            if gateway not in roots
        }
        self.assertEqual(sources, {workspaces.Source.GATEWAY})

    def test_gateway_with_an_older_version_reads_the_store(self):
        self.start(3)
        self.fleet.has_reports = False
        gateway = self.get(2)
        gateway.follower.record_reported_end = lambda _end: None
        self.fleet.store.write()
        self.fleet.run(1.2)
        self.assertEqual(gateway.version, 2)

    def test_restored_store_takes_no_version_back(self):
        self.start(4)
        self.fleet.store.write()
        self.fleet.run(3.0)
        self.fleet.store.restore(1)
        self.fleet.run(8.0)
        self.assertEqual(self.list_allowing(1), [])
        self.assertEqual(len(self.list_allowing(2)), 4)

    # It reads the key that was withdrawn from the copy.
    def test_gateway_that_starts_after_a_restore_waits_for_its_peers(self):
        self.start(4)
        self.fleet.store.write()
        self.fleet.run(3.0)
        self.fleet.store.restore(1)
        self.fleet.stop("g003")
        self.fleet.cut.add("g003")
        self.fleet.start("g003")
        self.fleet.run(5.0)
        self.assertEqual(self.get(3).version, 1)
        self.assertEqual(self.list_allowing(1), [])
        self.fleet.cut.clear()
        self.fleet.run(3.0)
        self.assertEqual(self.list_allowing(1), [])
        self.fleet.store.write(2)
        self.fleet.run(3.0)
        self.assertEqual(len(self.list_allowing(2)), 4)


class ErrorTest(_FleetTestCase):
    """An unexpected error while keys are confirmed."""

    def test_next_round_goes_on(self):
        self.start(3)
        gateway = self.get(2)
        with mock.patch.object(gateway, "list_live", side_effect=KeyError):
            logging.disable(logging.CRITICAL)
            self.fleet.run(1.5)
        self.fleet.run(3.0)
        self.assertLess(gateway.belief.measure_age_s(), 0.5 * _BOUND_S)

    def test_nothing_is_sent_after_the_end(self):
        self.start(3)
        gateway = self.get(2)
        gateway.close()
        sent = gateway.sent
        self.fleet.run(3.0)
        self.assertEqual(gateway.sent, sent)


class LoadTest(_FleetTestCase):
    """What gateways send each other while nothing fails."""

    def test_no_gateway_of_300_answers_many(self):
        self.start(300, has_reports=False)
        oldest_s = self.measure_oldest_s(10.0)
        self.assertLess(oldest_s, 0.5 * _BOUND_S)
        self.assertLessEqual(max(self.fleet.answers.values()) / 10.0, 6.0)
        for gateway in self.fleet.gateways.values():
            self.assertLessEqual(gateway.sent / (10.0 + _SETTLE_S), 8.0)
        # Only the watchers call the store.
        self.assertEqual(sorted(self.fleet.store.calls), ["g000", "g001"])

    def test_one_datagram_in_ten_is_lost(self):
        self.start(24)
        self.fleet.lost_share = 0.1
        self.assertLess(self.measure_oldest_s(30.0), 0.8 * _BOUND_S)


class RandomFaultTest(_FleetTestCase):
    """A key that is allowed was held by the store less than the bound ago."""

    def play(self, seed, *, count=8, seconds=40.0):
        generator = random.Random(seed)
        group = fleet.Fleet(count, seed=seed)
        self.addCleanup(group.close)
        allowed = 0

        def check(gateway):
            nonlocal allowed
            version = gateway.version
            if version is None or not gateway.allows(version):
                return
            allowed += 1
            ended_at = group.store.ended_at.get(version, math.inf)
            self.assertGreaterEqual(
                ended_at + _BOUND_S, group.now, (seed, gateway.name, version)
            )

        group.check = check
        group.start()
        restored_s = 0.0
        for _ in range(round(seconds / 0.5)):
            self.strike(group, generator)
            group.run(0.5)
            is_restored = group.store.versions[-1] < group.store.newest
            restored_s = restored_s + 0.5 if is_restored else 0.0
            if restored_s >= _REWRITE_S:
                group.store.write(group.store.newest)
        group.cut.clear()
        group.lost_share = 0.0
        group.store.turned_away.clear()
        group.store.delay_s = 0.002
        if group.store.versions[-1] < group.store.newest:
            group.store.write(group.store.newest)
        group.run(10.0)
        newest = group.store.newest
        for gateway in group.gateways.values():
            self.assertTrue(gateway.allows(newest), (seed, gateway.name))
        group.close()
        return allowed

    def strike(self, group, generator):
        store = group.store
        name = generator.choice(sorted(group.gateways))
        is_restored = store.versions[-1] < store.newest
        match generator.randrange(12):
            case 0 | 1:
                store.write(store.newest if is_restored else None)
            case 2:
                group.cut ^= {name}
            case 3:
                store.turned_away ^= {name}
            case 4:
                share = generator.choice((0.0, 0.5, 1.0))
                size = round(share * len(group.names))
                store.turned_away = set(generator.sample(group.names, size))
            case 5:
                store.delay_s = generator.choice((0.002, 0.1, 0.7, 2.0))
            case 6:
                group.lost_share = generator.choice((0.0, 0.1, 0.5))
            case 7 | 8:
                group.freeze(
                    name,
                    generator.uniform(0.2, 8.0),
                    is_suspended=generator.random() < 0.5,
                )
            case 9 if not is_restored:
                group.stop(name)
                group.start(name)
            case 10 if not is_restored and self.is_known(group):
                store.restore(generator.randrange(1, 3))
            case 11:
                group.delay_s = generator.choice((0.001, 0.01, 0.3))
                group.cut.clear()

    def is_known(self, group):
        """Returns whether a gateway has the newest version in force."""
        versions = {gateway.version for gateway in group.gateways.values()}
        return group.store.newest in versions

    def test_no_key_is_allowed_too_late(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertGreater(self.play(seed), 1000)
