import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import peers
from sassafrasstile import stores
from sassafrasstile import testing


class _Store(stores.Store):
    """A keyed topic in memory."""

    def __init__(self):
        self.records = {}
        self.is_down = False
        self.loads = 0
        self.puts = 0

    def load(self, topic):
        self.loads += 1
        if self.is_down:
            return self._fail()
        entries = tuple(
            stores.Change(key=key, value=value, offset=0)
            for key, value in self.records.items()
        )
        return defer.succeed(stores.Snapshot(entries=entries, next_offset=9))

    def _fail(self):
        return defer.fail(
            stores.StoreError(code=errors.Code.STORE_UNAVAILABLE, detail="down")
        )

    def follow(self, topic, *, offset, wait_s):
        raise NotImplementedError

    def put(self, topic, *, key, value, at=None):
        self.puts += 1
        if self.is_down:
            return self._fail()
        self.records[key] = value
        return defer.succeed(stores.AppendedRecord(offset=0))

    def close(self):
        pass


class _Channel:
    """Fake of the channel to the other gateways."""

    def __init__(self):
        self.peers = []

    def add_peer(self, address):
        self.peers.append(address.name)


class DirectoryTest(unittest.TestCase):
    """A gateway's address in the store, also after the store lost it."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.channel = _Channel()
        self.directory = peers.PeerDirectory(
            reactor=self.clock,
            store=self.store,
            topic="t",
            address=peers.PeerAddress(
                name="a", host="10.0.0.1", port=1, zone="z"
            ),
            channel=self.channel,
            generator=random.Random(1),
        )
        self.directory.start()
        self.addCleanup(self.directory.close)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

    def test_address_is_written_and_read_once(self):
        self.advance(10.0)
        self.assertEqual((self.store.puts, self.store.loads), (1, 1))

    # Gateways that start later would not find this one.
    def test_address_that_the_store_lost_is_written_again(self):
        self.advance(1.0)
        self.store.records.clear()
        self.directory.start_epoch(2)
        self.advance(6.0)
        self.assertIn("a", self.store.records)
        self.assertEqual(self.store.puts, 2)

    # Guards against gateways that send no report any more, or don't read the
    # addresses, beside the record of another writer (issue 56).
    def test_odd_addresses_are_ignored_and_the_others_are_read(self):
        self.store.records |= testing.ODD_GATEWAYS
        self.store.records["b"] = b'["b","10.0.0.2",1,"z"]'
        self.directory.start_epoch(2)
        self.advance(6.0)
        self.assertEqual(self.channel.peers, ["a", "a", "b"])
        self.advance(30.0)
        self.assertEqual(self.store.loads, 3)

    # Each write has its price, and most records survive a restore.
    def test_address_that_the_copy_holds_is_not_written_again(self):
        self.advance(1.0)
        self.directory.start_epoch(2)
        self.advance(6.0)
        self.assertEqual((self.store.puts, self.store.loads), (1, 2))

    # Guards against a gateway that is told of no crash for seconds, since a
    # restore delays its first read of the addresses.
    def test_restore_does_not_delay_the_first_read(self):
        self.directory.close()
        for seed in range(20):
            self.directory = peers.PeerDirectory(
                reactor=self.clock,
                store=self.store,
                topic="t",
                address=peers.PeerAddress(
                    name="a", host="10.0.0.1", port=1, zone="z"
                ),
                channel=self.channel,
                generator=random.Random(seed),
            )
            self.store.is_down = True
            self.directory.start()
            self.advance(0.2)
            self.store.is_down = False
            self.directory.start_epoch(2)
            # The longest wait for another try without a restore is 1.25 s.
            self.advance(1.5)
            with self.subTest(seed=seed):
                self.assertTrue(self.directory.is_loaded)
            self.directory.close()

    def test_address_is_written_after_an_outage(self):
        self.advance(1.0)
        self.store.records.clear()
        self.store.is_down = True
        self.directory.start_epoch(2)
        self.advance(6.0)
        self.store.is_down = False
        self.advance(3.0)
        self.assertIn("a", self.store.records)
