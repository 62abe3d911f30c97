import unittest

from twisted.internet import task

from sassafrasstile import stores
from sassafrasstile.router import _start_gate


class StartGateTest(unittest.TestCase):
    """A gateway starts while the store holds an old configuration."""

    def setUp(self):
        self.clock = task.Clock()
        self.epochs = stores.EpochMonitor(reactor=self.clock)
        self.epochs.observe(2)
        self.version = 5
        self.gateways = 3
        self.gate = _start_gate.StartGate(
            reactor=self.clock,
            epochs=self.epochs,
            read_configuration_version=lambda: self.version,
            count_gateways=lambda: self.gateways,
        )

    # Callers would be served by a version that is no longer in force.
    def test_gateway_waits_for_the_version_of_its_peers(self):
        self.assertFalse(self.gate.is_open())
        self.gate.record_peer_configuration_version(7)
        self.gate.record_peer_configuration_version(6)
        self.clock.advance(3.0)
        self.assertFalse(self.gate.is_open())
        self.version = 7
        self.assertTrue(self.gate.is_open())

    def test_same_version_as_a_peer_is_enough(self):
        self.gate.record_peer_configuration_version(None)
        self.assertFalse(self.gate.is_open())
        self.gate.record_peer_configuration_version(5)
        self.assertTrue(self.gate.is_open())

    # A peer may be wrong, or the lost version may never be written again.
    def test_wait_is_bounded(self):
        self.gate.record_peer_configuration_version(99)
        self.clock.advance(6.1)
        self.assertTrue(self.gate.is_open())

    def test_silent_peers_delay_the_start_by_a_second(self):
        self.clock.advance(0.9)
        self.assertFalse(self.gate.is_open())
        self.clock.advance(0.2)
        self.assertTrue(self.gate.is_open())

    # The wait costs capacity, so there is none without need.
    def test_no_wait_before_the_first_restore(self):
        for epoch in (None, 0, 1):
            epochs = stores.EpochMonitor(reactor=self.clock)
            epochs.observe(epoch)
            gate = _start_gate.StartGate(
                reactor=self.clock,
                epochs=epochs,
                read_configuration_version=lambda: 5,
                count_gateways=lambda: 3,
            )
            self.assertTrue(gate.is_open())

    def test_only_gateway_does_not_wait(self):
        self.gateways = 1
        self.assertTrue(self.gate.is_open())

    # A gateway in use isn't taken out by a newer version of a peer.
    def test_open_gate_stays_open(self):
        self.gate.record_peer_configuration_version(5)
        self.assertTrue(self.gate.is_open())
        self.gate.record_peer_configuration_version(6)
        self.assertTrue(self.gate.is_open())

    def test_no_configuration_is_not_enough(self):
        self.version = None
        self.clock.advance(60.0)
        self.assertFalse(self.gate.is_open())
