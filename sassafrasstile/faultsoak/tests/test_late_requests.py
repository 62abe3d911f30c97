"""Requests at every moment of a planned stop, to a real process."""

import dataclasses
import signal
import zlib

import h11
from twisted.internet import error

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.faultsoak.tests import process_site

_GRACE_S = 8.0
_LOSS_SLACK_S = 0.2
# A request sent by this time after the SIGTERM may be cut in the last sixth of
# the grace time while its endpoint is at work.
_EARLY_S = 3.0
_LAST_SIXTH_S = _GRACE_S * 5 / 6
# What is sent later may never be read by the process.
_LAST_READ_S = 7.0
_INTERVAL_S = 0.3
_ROUNDS = 28
_LIMIT_S = 14.0
_NOT_RUN = (408, 421, 429, 503)
_MANNERS = ("new", "kept", "pipelined")


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """A request as its caller saw it; times in seconds after the SIGTERM."""

    name: str
    path: str
    manner: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False


def _read_answers(data: bytes) -> list[tuple[int, bool]]:
    """Returns the status of each answer, and whether it is whole."""
    answers = []
    while data:
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method="GET", target="/", headers=[("Host", "a")])
        )
        parser.send(h11.EndOfMessage())
        parser.receive_data(data)
        status, is_whole = 0, False
        while not is_whole:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                break
            status = getattr(event, "status_code", status)
            is_whole = isinstance(event, h11.EndOfMessage)
        answers.append((status, is_whole))
        data = parser.trailing_data[0] if is_whole else b""
    return answers


class LateRequestTest(testing.ReactorTestCase):
    """A stop answers or refuses what comes late, whatever was served before."""

    def now(self):
        return self.reactor.seconds() - self.stopped_at

    # Work lasts from next to nothing to longer than the route allows, and some
    # requests are never begun.
    def run_request(self, request):
        share = zlib.crc32(request.request_id.encode()) % 1000 / 1000
        self.began[request.request_id] = self.now()
        if request.target.startswith((process_site.SAFE, process_site.UNSAFE)):
            self.lasts[request.request_id] = 1.8 * share
            return standins.make_answer(request, after_s=1.8 * share)
        if share > 0.9:
            self.lasts[request.request_id] = _LIMIT_S
            return standins.SILENCE
        self.lasts[request.request_id] = 9.0 * share
        return standins.make_stream(request, count=20, gap_s=0.45 * share)

    async def send(self, attempts, caller):
        data = b"".join(
            process_site.make_request(
                item.path,
                item.name,
                close=False,
                deadline_ms=int(1000 * _LIMIT_S),
            )
            for item in attempts
        )
        known = len(caller.data)
        caller.send(data)
        await caller.read_within(_LIMIT_S + 2.0)
        answers = _read_answers(caller.data[known:])
        for attempt in attempts:
            attempt.ended_at = self.now()
        for attempt, answer in zip(attempts, answers, strict=False):
            attempt.status, attempt.is_whole = answer
        self.attempts += attempts

    async def send_round(self, gateway, number, kept):
        for path in process_site.PATHS:
            for manner in _MANNERS:
                caller = kept.pop() if manner == "kept" else None
                count = 2 if manner == "pipelined" else 1
                attempts = [
                    _Attempt(
                        name=f"{number:02x}{place:02x}{manner}{path[1:3]}",
                        path=path,
                        manner=manner,
                        sent_at=self.now(),
                    )
                    for place in range(count)
                ]
                self.sending.append(
                    testing.spawn(
                        self.connect_and_send(gateway, attempts, caller)
                    )
                )

    async def connect_and_send(self, gateway, attempts, caller):
        if caller is None:
            try:
                caller = await testing.connect(self.reactor, gateway.port)
            except error.ConnectError:
                # Nothing was sent.
                return
        if caller.is_open:
            await self.send(attempts, caller)

    async def keep_connections(self, gateway, count):
        kept = []
        for number in range(count):
            caller = await testing.connect(self.reactor, gateway.port)
            caller.send(
                process_site.make_request(
                    process_site.SAFE, f"kept{number}", close=False
                )
            )
            await caller.read_until(b"ok")
            kept.append(caller)
        return kept

    def find_fault(self, attempt):
        """Returns the sentence of the rules that an attempt breaks, or None."""
        runs = self.site.runs[attempt.name]
        may_repeat = attempt.path in (process_site.SAFE, process_site.RESUMABLE)
        if runs > 1 and not may_repeat:
            return "TWICE"
        if runs and attempt.status in _NOT_RUN and not may_repeat:
            return "REFUSED"
        if attempt.is_whole:
            return None
        if attempt.name not in self.passed_on:
            crossed = attempt.ended_at - attempt.sent_at <= _LOSS_SLACK_S
            is_unread = crossed or attempt.sent_at > _LAST_READ_S
            return None if is_unread else "LOST, not answered"
        ends_at = self.began.get(attempt.name, 0.0) + self.lasts.get(
            attempt.name, 0.0
        )
        if attempt.sent_at <= _EARLY_S and ends_at >= _LAST_SIXTH_S:
            return None
        return "LOST, passed on"

    # Guards against requests that come late in a stop, are passed on, and get
    # no answer at its end (issue 56).
    @testing.on_reactor
    async def test_late_requests_are_answered_or_refused(self):
        self.stopped_at = self.reactor.seconds()
        self.attempts, self.sending = [], []
        self.began, self.lasts = {}, {}
        self.site = site = process_site.GatewaySite(reactor=self.reactor)
        quick, site.run_request = site.run_request, self.run_request
        site.start()
        stopping, calm = site.gateways
        for gateway in site.gateways:
            self.addCleanup(gateway.close)
            await self.wait_until(gateway.accepts_callers)
        site.run_request = quick
        kept = await self.keep_connections(
            stopping, _ROUNDS * len(process_site.PATHS)
        )
        site.run_request = self.run_request
        stopping.send(signal.SIGTERM)
        self.stopped_at = self.reactor.seconds()
        for number in range(_ROUNDS):
            await self.send_round(stopping, number, kept)
            answer = await site.ask(calm, process_site.SAFE, f"calm{number}")
            self.assertIn(answer.status, (200, 504))
            await self.sleep(max(0.0, (number + 1) * _INTERVAL_S - self.now()))
        await self.wait_until(lambda: not stopping.is_running)
        for deferred in self.sending:
            await deferred
        self.passed_on = {
            request.request_id
            for endpoint in site.endpoints.values()
            for request in endpoint.requests
        }
        faults = [
            (fault, attempt)
            for attempt in self.attempts
            if (fault := self.find_fault(attempt))
        ]
        self.maxDiff = None
        self.assertEqual(faults, [])
        late = [item for item in self.attempts if item.sent_at > _EARLY_S]
        self.assertTrue(any(item.status == 200 for item in late))
        self.assertTrue(any(item.status == 503 for item in late))
        self.assertTrue(calm.is_running)
        await site.close()
