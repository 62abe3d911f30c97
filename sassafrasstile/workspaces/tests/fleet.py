"""Gateways that confirm their keys, on one virtual time, without a network."""

import dataclasses
import functools
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import routes
from sassafrasstile import stores
from sassafrasstile import workspaces
from sassafrasstile.router import _restore_watch

BOUND_S = 5.0
_STEP_S = 0.01
_TOPIC = "t"
_CALL_TIMEOUT_S = 0.8
_REPORT_INTERVAL_S = 0.5
_SILENCE_S = 1.5
_REPORTED_AGE_S = 0.1


def make_key(version):
    """Returns the key that only this version holds."""
    return f"key-{version}"


@dataclasses.dataclass(kw_only=True, eq=False)
class _LongPoll:
    name: str
    offset: int
    ends_at: float
    answer: defer.Deferred


class Store:
    """The store; its records are the versions.

    Attributes:
        ended_at: When each version was replaced by a newer one.
        calls: The number of calls by gateway.
        delay_s: The time that a call or an answer takes.
        turned_away: Gateways whose calls fail.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._polls = []
        self.versions = [1]
        self.epoch = 1
        self.newest = 1
        self.ended_at = {}
        self.calls = {}
        self.delay_s = 0.002
        self.turned_away = set()

    def write(self, version=None):
        """Writes a version, by default the next one."""
        if version is None:
            version = self.newest + 1
        for former in range(1, version):
            self.ended_at.setdefault(former, self._fleet.now)
        self.newest = max(self.newest, version)
        self.versions.append(version)

    def restore(self, lost):
        """Drops the newest versions; returns the newest one before."""
        del self.versions[max(1, len(self.versions) - lost) :]
        self.epoch += 1
        return self.newest

    def begin(self, name, offset, wait_s):
        """Begins a call; an offset of None reads the newest record."""
        self.calls[name] = self.calls.get(name, 0) + 1
        answer = defer.Deferred()
        poll = _LongPoll(
            name=name,
            offset=offset,
            ends_at=self._fleet.now + self.delay_s + wait_s,
            answer=answer,
        )
        if name in self.turned_away:
            self._fail(poll, errors.Code.STORE_UNAVAILABLE, _CALL_TIMEOUT_S)
        else:
            self._fleet.later(self.delay_s, lambda: self._polls.append(poll))
        return answer

    def step(self):
        """Answers the calls that are due."""
        for poll in list(self._polls):
            end = len(self.versions)
            is_behind = poll.offset is None or end > poll.offset
            if is_behind or self._fleet.now >= poll.ends_at:
                self._polls.remove(poll)
                self._answer(poll, end)

    def _answer(self, poll, end):
        if poll.name in self.turned_away:
            self._fail(poll, errors.Code.STORE_UNAVAILABLE, _CALL_TIMEOUT_S)
        elif poll.offset is not None and poll.offset > end:
            self._fail(poll, errors.Code.HISTORY_GONE, self.delay_s)
        else:
            result = self._make_result(poll.offset, end)
            self._deliver(poll, self.delay_s, poll.answer.callback, result)

    def _make_result(self, offset, end):
        first = end - 1 if offset is None else offset
        changes = tuple(
            stores.Change(
                key="config", value=str(self.versions[at]).encode(), offset=at
            )
            for at in range(first, end)
        )
        if offset is None:
            return stores.Snapshot(
                entries=changes, next_offset=end, epoch=self.epoch
            )
        return stores.ChangePage(
            changes=changes, next_offset=end, epoch=self.epoch, end_offset=end
        )

    def _fail(self, poll, code, delay_s):
        error = stores.StoreError(code=code, detail="down", epoch=None)
        self._deliver(poll, delay_s, poll.answer.errback, error)

    def _deliver(self, poll, delay_s, call, result):
        def deliver():
            if not poll.answer.called:
                call(result)

        self._fleet.deliver(poll.name, delay_s, deliver)


class _StoreClient(stores.Store):
    def __init__(self, *, store, name):
        self._store = store
        self._name = name

    def load(self, topic):
        return self._store.begin(self._name, None, 0.0)

    def follow(self, topic, *, offset, wait_s):
        return self._store.begin(self._name, offset, wait_s)

    def put(self, topic, *, key, value, at=None):
        raise NotImplementedError

    def close(self):
        pass


class Gateway:
    """A gateway: what follows, believes, asks and checks is the real code."""

    def __init__(self, fleet, name):
        self.name = name
        self.clock = task.Clock()
        self.frozen_until = 0.0
        self.missed_s = 0.0
        self.lapses = 0
        self.sent = 0
        self.sent_bytes = 0
        self.inbox = []
        self._fleet = fleet
        self._seen_at = {}
        self.active = routes.ActiveConfiguration()
        epochs = stores.EpochMonitor(reactor=self.clock)
        self.restore_watch = _restore_watch.RestoreWatch(
            reactor=self.clock,
            epochs=epochs,
            list_peers=self.list_zones,
        )
        self.belief = workspaces.KeyBelief(
            read_version=lambda: self.active.version,
            read_time_s=self.read_time_s,
            may_rely_on_store=self.restore_watch.may_rely_on_store,
        )
        self.exchange = workspaces.BeliefExchange(
            reactor=self.clock,
            name=name,
            belief=self.belief,
            read_time_s=self.read_time_s,
            max_age_s=BOUND_S,
            has_keys=lambda: self.active.directory is not None,
            is_watcher=self.is_watcher,
            read_store=lambda: self.follower.mark_stale(),
            generator=random.Random(name),
            on_lapse=self.count_lapse,
            transport=self,
        )
        self.follower = stores.Follower(
            reactor=self.clock,
            store=stores.EpochCheckedStore(
                store=_StoreClient(store=fleet.store, name=name), epochs=epochs
            ),
            topic=_TOPIC,
            max_lag_s=3.0,
            on_change=self._apply,
            on_loaded=lambda: None,
            on_outage=lambda: None,
            on_contact=lambda: None,
            generator=random.Random(name),
            is_watcher=self.is_watcher,
            read_time_s=self.read_time_s,
            on_confirmed=self.exchange.record_call,
            read_max_wait_s=lambda: self.exchange.max_wait_s,
        )
        epochs.subscribe(self.follower.start_epoch)
        self.checker = workspaces.AccessChecker(
            read_directory=lambda: self.active.directory,
            measure_age_s=self.belief.measure_age_s,
            max_age_s=BOUND_S,
        )
        self.follower.start()
        self.exchange.start()

    @property
    def version(self):
        return self.active.version

    def read_time_s(self):
        """The clock that counts suspensions."""
        return 1000.0 + self._fleet.now

    def count_lapse(self):
        self.lapses += 1

    def is_watcher(self):
        return self.name in sorted([self.name, *self.list_live()])[:2]

    def _apply(self, change):
        version = int(change.value)
        workspace = workspaces.Workspace(
            name="w", keys=frozenset([make_key(version)])
        )
        self.active.apply_if_newer(
            routes.Configuration(
                version=version,
                routes=(),
                services={},
                workspaces=(workspace,),
            )
        )

    def allows(self, version):
        """Returns whether a request with a version's key may be sent now."""
        try:
            access = self.checker.identify(make_key(version), is_open=False)
        except errors.RequestError:
            return False
        return self.checker.find_denial(access) is None

    def report(self, name, version, end):
        """Handles another gateway's load report."""
        now = self.clock.seconds()
        self._seen_at[name] = now
        self.restore_watch.record_peer(name)
        self.belief.record_peer_version(version)
        if end is not None:
            reported = dataclasses.replace(end, known_at=now - _REPORTED_AGE_S)
            self.follower.record_reported_end(reported)

    # The transport.

    def list_zones(self):
        return {name: "a" for name in self._fleet.names if name != self.name}

    def list_live(self):
        if not self._fleet.has_reports:
            return list(self.list_zones())
        now = self.clock.seconds()
        return [
            name
            for name, seen_at in self._seen_at.items()
            if now - seen_at < _SILENCE_S
        ]

    def count_lost(self):
        return 0

    def send(self, name, payload):
        self.sent += 1
        self.sent_bytes += len(payload)
        self._fleet.send(self.name, name, payload)

    def close(self):
        self.follower.close()
        self.exchange.close()


class Fleet:
    """The store and the gateways.

    Attributes:
        now: The time in seconds.
        lost_share: The share of the datagrams that are lost.
        cut: Gateways that exchange no datagrams with others.
        answers: The number of answers by gateway.
        check: Called with each gateway that runs, before and after each event.
    """

    def __init__(self, count, *, seed=1, has_reports=True):
        self.now = 0.0
        self.generator = random.Random(seed)
        self.has_reports = has_reports
        self.names = [f"g{number:03}" for number in range(count)]
        self.gateways = {}
        self.lost_share = 0.0
        self.delay_s = 0.001
        self.cut = set()
        self.answers = {}
        self.check = lambda _gateway: None
        self.store = Store(self)
        self._events = task.Clock()
        self._report_at = 0.0

    def start(self, *names):
        for name in names or self.names:
            self.gateways[name] = Gateway(self, name)

    def stop(self, name):
        self.gateways.pop(name).close()

    def close(self):
        for name in list(self.gateways):
            self.stop(name)

    def freeze(self, name, seconds, *, is_suspended=False):
        """Stops a gateway; a suspended one's steady clock stops, too."""
        gateway = self.gateways[name]
        gateway.frozen_until = self.now + seconds
        gateway.missed_s = 0.0 if is_suspended else seconds

    def later(self, delay_s, call):
        self._events.callLater(delay_s, call)

    def deliver(self, name, delay_s, call):
        """Calls a function once a gateway receives a message and runs."""
        gateway = self.gateways.get(name)

        def arrive():
            if self.gateways.get(name) is gateway is not None:
                gateway.inbox.append(call)

        self.later(delay_s, arrive)

    def send(self, sender, name, payload):
        is_lost = self.generator.random() < self.lost_share
        if is_lost or self.cut & {sender, name}:
            return
        if b'"is"' in payload:
            self.answers[sender] = self.answers.get(sender, 0) + 1
        self.deliver(
            name,
            self.delay_s,
            lambda: self.gateways[name].exchange.receive(sender, payload),
        )

    def run(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            self._events.advance(_STEP_S)
            self.store.step()
            self._report()
            for gateway in list(self.gateways.values()):
                self._run_gateway(gateway)

    def _run_gateway(self, gateway):
        if gateway.frozen_until > self.now:
            return
        self.check(gateway)
        # What waits in the sockets may be read before any timer runs.
        inbox, gateway.inbox = gateway.inbox, []
        for call in inbox:
            call()
            self.check(gateway)
        gateway.clock.advance(gateway.missed_s + _STEP_S)
        gateway.missed_s = 0.0
        self.check(gateway)

    def _report(self):
        """Sends load reports; without them, ends of topics arrive anyway."""
        if self.now < self._report_at:
            return
        self._report_at = self.now + _REPORT_INTERVAL_S
        senders = list(self.gateways.values())
        for sender in senders if self.has_reports else senders[:2]:
            if sender.frozen_until <= self.now:
                self._report_of(sender)

    def _report_of(self, sender):
        for receiver in self.gateways.values():
            is_cut = {sender.name, receiver.name} & self.cut
            is_lost = self.generator.random() < self.lost_share
            if receiver is sender or is_cut or is_lost:
                continue
            report = functools.partial(
                receiver.report,
                sender.name,
                sender.version,
                sender.follower.end,
            )
            self.deliver(receiver.name, self.delay_s, report)
