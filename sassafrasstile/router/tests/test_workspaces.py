"""Keys of workspaces on the wire: who a request runs as, and what is hidden."""

import json

from sassafrasstile import standins
from sassafrasstile import testing

_COUNT = ("X-Token-Count: 100,50",)
_HOLD_TARGET = "/sassafrasstile/hold-take"
_HANDLE_TARGET = "/sassafrasstile/kv/"
_KEY = "k-one-7f31"
_OTHER_KEY = "k-two-9b02"
_UNAUTHORIZED = 401
_UNAVAILABLE = 503


def _show(key, scheme="Token"):
    """Returns the header of a caller that shows a key."""
    return (f"Authorization: {scheme} {key}",)


def _answer_engine(request):
    if request.target == _HOLD_TARGET:
        return standins.make_hold(request, "m1")
    return standins.make_stream(request)


def _answer_prefill(request):
    return standins.make_handle(request, "h1")


def _begin_stream(request):
    """Answers with an endless stream, or with the rest of a resumed one."""
    after = request.headers.get("last-event-id")
    if after is not None:
        return standins.make_stream(request, first=int(after) + 1)
    complete = standins.make_stream(request)
    return standins.EndpointAnswer(segments=complete.segments[:-1])


def _make_one():
    return testing.make_workspace_document("one", _KEY, priority=0)


def _make_two(*keys):
    return testing.make_workspace_document("two", *(keys or (_OTHER_KEY,)))


class WorkspaceTestCase(testing.PlatformTestCase):
    """Starts sites whose callers show keys."""

    async def start_site(self, scripts, *, workspaces=(), **options):
        """Starts a site.

        Args:
            scripts: The scripts of the endpoints by role: `desk`, `decode` or
                `prefill`, followed by a number.
            workspaces: The workspaces, as documents.
            **options: Further arguments of `PlatformSite`.
        """
        streaming = {"targetGapMs": 2000, "resumable": True, "maxAttempts": 3}
        site = self.make_site(
            [
                testing.make_platform_route("/once/", "desk", "unsafe"),
                testing.make_platform_route(
                    "/again/", "desk", "safe", maxAttempts=2
                ),
                testing.make_platform_route(
                    "/open/", "desk", "safe", public=True
                ),
                testing.make_platform_route(
                    "/gen/", "writer", "streaming", **streaming
                ),
                testing.make_platform_route(
                    "/slow/",
                    "writer",
                    "streaming",
                    targetLatencyMs=5000,
                    timeoutMs=20000,
                    **streaming,
                ),
            ],
            **options,
        )
        for name, script in scripts.items():
            role = name[:-1]
            if role == "desk":
                site.add_endpoint(name, script)
            else:
                site.add_endpoint(
                    name,
                    script,
                    service="writer",
                    stage=role,
                    zone="a" if role == "prefill" else "b",
                )
        await self.wait_until_ready(site)
        if workspaces:
            await self.reconfigure(site, *workspaces)
        return site

    async def reconfigure(self, site, *workspaces):
        """Writes a configuration and waits until it is in force."""
        site.workspaces = list(workspaces)
        site.configure()
        for gateway in site._gateways.values():
            await self.wait_until(
                lambda gateway=gateway: (
                    gateway._active_configuration.version == site.version
                )
            )

    def list_runs(self, site, *names):
        return [
            request
            for name in names or site.endpoints
            for request in site.endpoints[name].requests
            if request.method == "POST" and request.target != _HOLD_TARGET
        ]

    def check_hidden(self, site, *keys):
        """Checks that endpoints have seen no key."""
        for endpoint in site.endpoints.values():
            for request in endpoint.requests:
                seen = repr(request.headers) + repr(request.body)
                self.assertNotIn("authorization", request.headers)
                for key in keys:
                    self.assertNotIn(key, seen)


class IdentityTest(WorkspaceTestCase):
    """What endpoints are told of a caller, and who is refused."""

    @testing.on_reactor
    async def test_call_runs_for_the_workspace_that_holds_the_key(self):
        site = await self.start_site(
            {"desk0": standins.make_answer},
            workspaces=[_make_one(), _make_two()],
        )
        forged = ("X-Tenant: two", "x-tenant: three")
        answer = await site.call("/once/", headers=(*_show(_KEY), *forged))
        await self.close_sites()
        self.assertEqual(answer.status, 200)
        (request,) = self.list_runs(site)
        self.assertEqual(request.headers["x-tenant"], "one")
        self.check_hidden(site, _KEY)

    @testing.on_reactor
    async def test_calls_without_a_valid_key_are_refused_unless_open(self):
        site = await self.start_site(
            {"desk0": standins.make_answer}, workspaces=[_make_one()]
        )
        shown = {
            "none": (),
            "unknown": _show("k-nobody"),
            "other scheme": _show(_KEY, scheme="Bearer"),
            "no scheme": (f"Authorization: {_KEY}",),
            "twice": (*_show(_KEY), *_show(_KEY)),
            "listed": (f"Authorization: Token {_KEY}, Token {_KEY}",),
            "in the place of the name": ("X-Tenant: one",),
        }
        answers = {}
        for name, headers in shown.items():
            closed = await site.call("/once/", headers=headers)
            opened = await site.call("/open/", headers=headers)
            answers[name] = (closed, opened)
        await self.close_sites()
        for name, (closed, opened) in answers.items():
            with self.subTest(name):
                self.assertEqual(closed.status, _UNAUTHORIZED)
                self.assertEqual(json.loads(closed.body)["code"], "unknown_key")
                self.assertNotIn(b"retry-after", closed.data.lower())
                self.assertEqual(opened.status, 200)
        runs = self.list_runs(site)
        self.assertEqual(len(runs), len(shown))
        for request in runs:
            self.assertTrue(request.target.startswith("/open/"))
            self.assertNotIn("x-tenant", request.headers)
        self.check_hidden(site, _KEY, "k-nobody")

    @testing.on_reactor
    async def test_key_in_a_trailer_is_none(self):
        site = await self.start_site(
            {"desk0": standins.make_answer}, workspaces=[_make_one()]
        )
        head = (
            "POST /once/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
            "X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n"
            "Trailer: Authorization\r\nConnection: close\r\n\r\n"
        )
        body = f"2\r\nok\r\n0\r\nAuthorization: Token {_KEY}\r\n\r\n"
        caller = await site.connect()
        caller.send((head + body).encode())
        answer = await caller.read_all()
        await self.close_sites()
        self.assertIn(answer.status, (_UNAUTHORIZED, 400))
        self.assertEqual(self.list_runs(site), [])

    @testing.on_reactor
    async def test_odd_whitespace_and_other_alphabets_are_understood(self):
        keys = ("ключ-é", "\xfcber", _KEY)
        site = await self.start_site(
            {"desk0": standins.make_answer},
            workspaces=[testing.make_workspace_document("one", *keys)],
        )
        shown = (
            f"Authorization: Token {keys[0]}",
            f"Authorization: Token {keys[1]}",
            f"Authorization:Token   {_KEY}  ",
            f"authorization: \t token\t{_KEY}",
        )
        statuses = []
        for header in shown:
            answer = await site.call("/once/", headers=(header,))
            statuses.append(answer.status)
        await self.close_sites()
        self.assertEqual(statuses, [200] * len(shown))
        self.check_hidden(site, *keys)

    @testing.on_reactor
    async def test_engines_see_the_name_on_prefill_hold_and_decode(self):
        site = await self.start_site(
            {"decode0": _answer_engine, "prefill0": _answer_prefill},
            workspaces=[_make_one()],
            other_gateways=120,
        )
        forged = ("X-Tenant: two", "X-Request-Priority: 7")
        answer = await site.call(
            "/gen/", headers=(*_COUNT, *_show(_KEY), *forged)
        )
        await self.close_sites()
        self.assertTrue(answer.is_complete_stream)
        targets = [item.target for item in site.endpoints["decode0"].requests]
        self.assertIn(_HOLD_TARGET, targets)
        prefill, decode = self.list_runs(site, "prefill0", "decode0")
        for request in (prefill, decode):
            self.assertEqual(request.headers["x-tenant"], "one")
            # The priority of the workspace, and not of the route.
            self.assertEqual(request.headers["x-request-priority"], "0")
        self.check_hidden(site, _KEY)

    @testing.on_reactor
    async def test_second_attempt_shows_the_name_too(self):
        site = await self.start_site(
            {"desk0": standins.make_refusal, "desk1": standins.make_refusal},
            workspaces=[_make_one()],
        )
        await site.call("/again/", headers=_show(_KEY))
        await self.close_sites()
        runs = self.list_runs(site)
        self.assertGreater(len(runs), 1)
        for request in runs:
            self.assertEqual(request.headers["x-tenant"], "one")
        self.check_hidden(site, _KEY)

    @testing.on_reactor
    async def test_without_workspaces_all_is_passed_on_as_it_came(self):
        site = await self.start_site({"desk0": standins.make_answer})
        shown = ("Authorization: Basic abc", "X-Tenant: mine")
        answer = await site.call("/once/", headers=shown)
        bare = await site.call("/once/")
        await self.close_sites()
        self.assertEqual([answer.status, bare.status], [200, 200])
        first, second = self.list_runs(site)
        self.assertEqual(first.headers["authorization"], "Basic abc")
        self.assertEqual(first.headers["x-tenant"], "mine")
        self.assertNotIn("x-tenant", second.headers)
        self.assertNotIn("authorization", second.headers)


class WithdrawalTest(WorkspaceTestCase):
    """A configuration changes while requests with keys wait or run."""

    async def send(self, site, path, key=_KEY, **fields):
        caller = await site.connect()
        caller.send(
            testing.make_request(
                path,
                headers=(*_COUNT, *_show(key)),
                deadline_ms=15000,
                **fields,
            )
        )
        return caller

    @testing.on_reactor
    async def test_queued_generation_is_refused_at_once(self):
        """One request fills the only engine, and another one waits for it."""
        count = ("X-Token-Count: 9000,500",)
        site = await self.start_site(
            {"decode0": lambda _request: standins.SILENCE},
            workspaces=[_make_one(), _make_two()],
        )
        decode = site.endpoints["decode0"]
        callers = []
        for key in (_OTHER_KEY, _KEY):
            caller = await site.connect()
            callers.append(caller)
            caller.send(
                testing.make_request(
                    "/slow/", headers=(*count, *_show(key)), deadline_ms=9000
                )
            )
            await self.wait_until(lambda: self.list_runs(site))
        await self.sleep(0.3)
        admission = site.daemon._router._generations.admission
        queued = admission.queued
        await self.reconfigure(site, _make_two())
        answer = await callers[1].read_within(2.0)
        in_flight = site.daemon._router.in_flight
        callers[0].disconnect()
        await self.close_sites()
        self.assertEqual(queued, 1)
        self.assertEqual(admission.queued, 0)
        self.assertEqual(answer.status, _UNAUTHORIZED)
        # The other one goes on.
        self.assertEqual(in_flight, 1)
        self.assertEqual(len(decode.requests), len(self.list_runs(site)))
        self.assertEqual(len(self.list_runs(site)), 1)

    @testing.on_reactor
    async def test_generation_that_is_prefilled_is_refused_at_once(self):
        """Its prefill takes longer than its caller waits."""
        for left in ([_make_two()], [_make_two(_OTHER_KEY, _KEY)]):
            site = await self.start_site(
                {"prefill0": lambda _request: standins.SILENCE},
                workspaces=[_make_one(), _make_two()],
            )
            site.add_endpoint(
                "decode0",
                standins.make_refusal,
                service="writer",
                stage="decode",
            )
            await self.sleep(0.4)
            caller = await self.send(site, "/slow/")
            prefill = site.endpoints["prefill0"]
            await self.wait_until(lambda item=prefill: item.requests)
            began = self.reactor.seconds()
            await self.reconfigure(site, *left)
            answer = await caller.read_all()
            taken_s = self.reactor.seconds() - began
            in_flight = site.daemon._router.in_flight
            await self.close_sites()
            self.sites.clear()
            self.assertEqual(answer.status, _UNAUTHORIZED)
            document = json.loads(answer.body)
            self.assertEqual(document["code"], "key_withdrawn")
            self.assertEqual(document["verdict"], "not_run")
            self.assertNotIn(b"retry-after", answer.data.lower())
            # Its deadline and the timeout of the prefill are later.
            self.assertLess(taken_s, 3.0)
            self.assertEqual(in_flight, 0)
            self.assertEqual(self.list_runs(site, "decode0"), [])

    @testing.on_reactor
    async def test_hold_and_handle_are_released_between_prefill_and_decode(
        self,
    ):
        answered = []

        def answer_prefill(request):
            answered.append(request)
            complete = standins.make_handle(request, "h1").segments[0].data
            return standins.EndpointAnswer(
                segments=[
                    standins.Segment(data=complete[:-5]),
                    standins.Segment(data=complete[-5:], after_s=1.0),
                ]
            )

        site = await self.start_site(
            {"decode0": _answer_engine, "prefill0": answer_prefill},
            workspaces=[_make_one()],
            other_gateways=120,
        )
        caller = await self.send(site, "/slow/")
        await self.wait_until(lambda: answered)
        await self.reconfigure(site, _make_two())
        answer = await caller.read_all()
        decode = site.endpoints["decode0"]
        await self.wait_until(
            lambda: any(item.method == "DELETE" for item in decode.requests)
        )
        await self.close_sites()
        self.assertEqual(answer.status, _UNAUTHORIZED)
        self.assertEqual(self.list_runs(site, "decode0"), [])

    @testing.on_reactor
    async def test_request_that_may_have_run_gets_no_promise(self):
        for script, status in (
            (lambda _request: standins.SILENCE, 504),
            (
                lambda _request: standins.EndpointAnswer(
                    segments=[standins.Segment(data=b"", after_s=1.0)],
                    end="reset",
                ),
                502,
            ),
        ):
            site = await self.start_site(
                {"desk0": script, "desk1": script},
                workspaces=[_make_one()],
            )
            caller = await site.connect()
            caller.send(
                testing.make_request(
                    "/again/", headers=_show(_KEY), deadline_ms=2500
                )
            )
            await self.wait_until(lambda site=site: self.list_runs(site))
            await self.reconfigure(site, _make_two())
            answer = await caller.read_all()
            await self.close_sites()
            self.sites.clear()
            self.assertEqual(answer.status, status)
            # No second attempt.
            self.assertEqual(len(self.list_runs(site)), 1)

    @testing.on_reactor
    async def test_site_gains_workspaces_while_requests_wait(self):
        """What was accepted without a key mustn't pass a key on."""
        for key, status in ((_KEY, 200), ("k-nobody", _UNAUTHORIZED)):
            site = await self.start_site(
                {"decode0": standins.make_refusal, "prefill0": _answer_prefill}
            )
            caller = await self.send(site, "/slow/", key=key)
            await self.wait_until(
                lambda site=site: self.list_runs(site, "decode0")
            )
            await self.reconfigure(site, _make_one())
            await self.sleep(0.05)
            begun = list(map(id, self.list_runs(site)))
            site.endpoints["decode0"].script = standins.make_stream
            answer = await caller.read_all()
            await self.close_sites()
            self.sites.clear()
            with self.subTest(status=status):
                self.assertEqual(answer.status, status)
                later = [
                    request
                    for request in self.list_runs(site)
                    if id(request) not in begun
                ]
                self.assertEqual(bool(later), status == 200)
                for request in later:
                    self.assertEqual(request.headers["x-tenant"], "one")
                    self.assertNotIn("authorization", request.headers)

    @testing.on_reactor
    async def test_site_loses_workspaces_while_requests_wait(self):
        site = await self.start_site(
            {"decode0": standins.make_refusal, "prefill0": _answer_prefill},
            workspaces=[_make_one()],
        )
        caller = await self.send(site, "/slow/")
        await self.wait_until(lambda: self.list_runs(site, "decode0"))
        await self.reconfigure(site)
        site.endpoints["decode0"].script = standins.make_stream
        answer = await caller.read_all()
        await self.close_sites()
        self.assertEqual(answer.status, 200)
        last = self.list_runs(site, "decode0")[-1]
        self.assertNotIn("x-tenant", last.headers)
        self.assertEqual(last.headers["authorization"], f"Token {_KEY}")

    @testing.on_reactor
    async def test_keys_that_are_unconfirmed_are_refused_with_a_time(self):
        site = await self.start_site(
            {"desk0": standins.make_answer},
            workspaces=[_make_one()],
            max_key_age_s=5.0,
        )
        site.daemon._context.access._measure_age_s = lambda: 6.0
        closed = await site.call("/once/", headers=_show(_KEY))
        opened = await site.call("/open/", headers=_show(_KEY))
        await self.close_sites()
        self.assertEqual(closed.status, _UNAVAILABLE)
        self.assertEqual(json.loads(closed.body)["code"], "keys_unconfirmed")
        self.assertIn(b"retry-after: 1", closed.data.lower())
        self.assertEqual(opened.status, 200)
        (request,) = self.list_runs(site)
        self.assertNotIn("x-tenant", request.headers)
        self.check_hidden(site, _KEY)


class SeparationTest(WorkspaceTestCase):
    """What is remembered of a request is remembered for its workspace."""

    @testing.on_reactor
    async def test_stream_is_taken_up_only_by_its_workspace(self):
        """Two software versions, so that the origin has to be known."""
        site = await self.start_site(
            {"decode0": _begin_stream, "decode1": _begin_stream},
            workspaces=[_make_one(), _make_two()],
        )
        site.announce(
            "decode1", service="writer", stage="decode", zone="b", version="v2"
        )
        await self.sleep(0.5)
        caller = await site.connect()
        caller.send(
            testing.make_request(
                "/gen/", request_id="r1", headers=(*_COUNT, *_show(_KEY))
            )
        )
        await caller.read_until(b"data: token 3\n")
        caller.disconnect()
        resumed = (*_COUNT, "Last-Event-Id: 3", "Resumes: r1")
        theirs = await site.call(
            "/gen/", request_id="r2", headers=(*resumed, *_show(_OTHER_KEY))
        )
        never = await site.call(
            "/gen/",
            request_id="r3",
            headers=(
                *_COUNT,
                "Last-Event-Id: 3",
                "Resumes: r0",
                *_show(_OTHER_KEY),
            ),
        )
        own = await site.call(
            "/gen/", request_id="r4", headers=(*resumed, *_show(_KEY))
        )
        await self.close_sites()
        self.assertEqual(theirs.status, _UNAVAILABLE)
        # It learns nothing: the answer is that to a stream that never was.
        self.assertEqual(theirs.body, never.body)
        self.assertEqual(own.status, 200)


class RecordTest(WorkspaceTestCase):
    """What logs, metrics and pages say of workspaces, and never of keys."""

    async def fetch_pages(self, site):
        """Returns all pages of the admin port."""
        port = site.daemon._admin_ports[0].getHost().port
        pages = b""
        for path in ("/metrics", "/status"):
            caller = await testing.connect(self.reactor, port)
            caller.send(testing.make_request(path, method="GET"))
            pages += (await caller.read_all()).body
        return pages.decode()

    async def play(self):
        """Has requests served, refused, cut short, and a record rejected."""
        site = await self.start_site(
            {
                "desk0": standins.make_answer,
                "decode0": _answer_engine,
                "prefill0": _answer_prefill,
            },
            workspaces=[_make_one(), _make_two()],
            other_gateways=120,
        )
        await site.call("/once/", headers=_show(_KEY))
        await site.call("/once/", headers=_show("k-nobody"))
        await site.call("/gen/", headers=(*_COUNT, *_show(_KEY)))
        site.endpoints["decode0"].script = standins.make_refusal
        caller = await site.connect()
        caller.send(
            testing.make_request(
                "/slow/",
                request_id="r9",
                headers=(*_COUNT, *_show(_KEY)),
                deadline_ms=15000,
            )
        )
        decode = site.endpoints["decode0"]
        seen = len(decode.requests)
        await self.wait_until(lambda: len(decode.requests) > seen)
        site.workspaces = [{**_make_two(), "priority": _OTHER_KEY}]
        site.configure()
        await self.sleep(0.3)
        await self.reconfigure(site, _make_two())
        await caller.read_all()
        pages = await self.fetch_pages(site)
        shown = [repr(site.daemon.__dict__), repr(site.daemon._context)]
        current = site.daemon._active_configuration.current
        shown += [repr(current), pages]
        await self.close_sites()
        return pages, shown

    @testing.on_reactor
    async def test_decisions_name_the_workspace_and_no_text_holds_a_key(self):
        with self.assertLogs(level="DEBUG") as logs:
            pages, shown = await self.play()
        for key in (_KEY, _OTHER_KEY, "k-nobody"):
            for record in logs.records:
                text = record.getMessage() + repr(record.__dict__)
                self.assertNotIn(key, text)
            for text in shown:
                self.assertNotIn(key, text)
        self.assertTrue(
            any("config: record rejected" in item for item in logs.output)
        )
        self.check_records(logs.records)
        refusals = 'workspace_refusals_total{reason="%s",workspace="%s"} 1.0'
        self.assertIn(refusals % ("unknown_key", "none"), pages)
        self.assertIn(refusals % ("key_withdrawn", "one"), pages)

    def check_records(self, records):
        """Checks which workspaces the records of decisions name."""
        named = {}
        for record in records:
            if hasattr(record, "workspace"):
                kind = record.getMessage().partition(":")[0]
                named.setdefault(kind, set()).add(record.workspace)
        # Arrival, capacity, hold, sends, the stream, the end.
        for kind in ("room", "hold", "attempt", "stream"):
            self.assertEqual(named[kind], {"one"}, kind)
        self.assertEqual(named["request"], {"one", ""})
        refusals = [
            record
            for record in records
            if record.getMessage().startswith("keys: request")
        ]
        self.assertEqual(
            [(item.workspace, item.outcome) for item in refusals],
            [("", "unknown_key"), ("one", "key_withdrawn")],
        )
        for record in refusals:
            self.assertEqual(record.belief_age_s, 0.0)
        waits = [item for item in records if hasattr(item, "priority")]
        self.assertEqual({item.priority for item in waits}, {0})

    @testing.on_reactor
    async def test_refusals_for_keys_are_logged_with_a_bound(self):
        site = await self.start_site({}, workspaces=[_make_one()])
        with self.assertLogs(level="DEBUG") as logs:
            caller = await site.connect()
            for _ in range(30):
                caller.send(
                    testing.make_request(
                        "/once/", headers=_show("k"), close=False
                    )
                )
            caller.send(testing.make_request("/once/", headers=_show("k")))
            answer = await caller.read_all()
            pages = await self.fetch_pages(site)
        await self.close_sites()
        self.assertEqual(answer.data.count(b" 401 "), 31)
        lines = [item for item in logs.output if "keys: request" in item]
        self.assertLess(len(lines), 20)
        self.assertIn(
            'refusals_total{reason="unknown_key",workspace="none"} 31.0', pages
        )
