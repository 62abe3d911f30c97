"""The share of resumed streams that go on, against new ones that begin."""

import dataclasses
import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import testing

_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=8, capacity_tokens=20_000, tokens_per_event=1, handle_ttl_s=0.5
    ),
)
_SIZE = dispatch.WorkSize(prompt_tokens=4000, output_tokens=500)
_STEP_S = 0.05
_STREAM_S = 3.0
_NEW_WAIT_S = 1.8
_RESUMED_WAIT_S = 2.0
# Four engines with room for four streams of three seconds each.
_CAPACITY_PER_S = 16 / _STREAM_S
_LOSS_AT_S = 10.0
_END_S = 16.0


@dataclasses.dataclass(kw_only=True)
class _Share:
    begun: int = 0
    all: int = 0

    @property
    def value(self):
        return self.begun / self.all


class _Model:
    """Two gateways before two versions of two engines each.

    One gateway is lost with its streams, whose callers come to the other.
    """

    def __init__(self, *, load, seed):
        self.generator = random.Random(seed)
        self.table = dispatch.EndpointTable(silence_timeout_s=100.0)
        for name, version, role in (
            ("d1", "v1", membership.Role.DECODE),
            ("d2", "v1", membership.Role.DECODE),
            ("d3", "v2", membership.Role.DECODE),
            ("d4", "v2", membership.Role.DECODE),
            ("p1", "v1", membership.Role.PREFILL),
            ("p2", "v2", membership.Role.PREFILL),
        ):
            record = testing.make_endpoint_record(
                name, software_version=version, role=role
            )
            self.table.update_record(name, record)
        self.queue = dispatch.GenerationQueue(
            placement=dispatch.Placement(
                endpoints=self.table, zone="a", generator=self.generator
            )
        )
        self.rate_per_s = load * _CAPACITY_PER_S
        self.shares = {True: _Share(), False: _Share()}
        self.running = []
        self.now = 0.0

    def add(self, version=None):
        is_resumed = version is not None
        wait_s = _RESUMED_WAIT_S if is_resumed else _NEW_WAIT_S
        self.queue.add(
            service=_SERVICE,
            size=_SIZE,
            target_at=self.now + 0.9,
            wait_deadline=self.now + wait_s,
            arrived_at=self.now,
            is_resumed=is_resumed,
            software_version=version,
        )
        if is_resumed or self.now >= _LOSS_AT_S:
            self.shares[is_resumed].all += 1

    def run(self):
        has_lost = False
        while self.now < _END_S:
            self.now += _STEP_S
            if self.generator.random() < self.rate_per_s * _STEP_S:
                self.add()
            if not has_lost and self.now >= _LOSS_AT_S:
                has_lost = True
                self.lose_half()
            self.end_streams()
            self.admit()
        return self.shares

    def lose_half(self):
        """Ends half of the streams, whose callers come back at once."""
        lost = self.running[::2]
        self.running = self.running[1::2]
        for _, waiter in lost:
            waiter.grant.release()
            self.add(waiter.grant.decode.record.software_version)

    def end_streams(self):
        for ends_at, waiter in self.running:
            if ends_at <= self.now:
                waiter.grant.release()
        self.running = [item for item in self.running if item[0] > self.now]

    def admit(self):
        for waiter in self.queue.admit(self.now):
            waiter.grant.release_prefill()
            self.running.append((self.now + _STREAM_S, waiter))
            if waiter.is_resumed or waiter.arrived_at >= _LOSS_AT_S:
                self.shares[waiter.is_resumed].begun += 1
        self.queue.expire(self.now)


class ResumedShareTest(unittest.TestCase):
    """Two engines of each version serve, and a gateway is lost."""

    # Guards against streams that could go on being refused for new ones.
    def test_resumed_streams_go_on_at_least_half_as_often_as_new_ones_begin(
        self,
    ):
        for load in (0.6, 1.0, 1.5, 2.5):
            resumed, new = _Share(), _Share()
            for seed in range(8):
                shares = _Model(load=load, seed=seed).run()
                resumed.begun += shares[True].begun
                resumed.all += shares[True].all
                new.begun += shares[False].begun
                new.all += shares[False].all
            with self.subTest(load=load):
                self.assertGreaterEqual(resumed.all, 12)
                self.assertGreaterEqual(resumed.value, new.value / 2)
