"""Tests every registered engine adapter against the engine stand-in."""

from unittest import mock

from twisted.internet import defer
from twisted.internet import error

from sassafrasstile import httpclient
from sassafrasstile import messages
from sassafrasstile import plugins
from sassafrasstile import standins
from sassafrasstile import testing


class Listener:
    """Records the reports of an adapter."""

    def __init__(self):
        self.events = []
        self.texts = []
        self.work = None

    def finish_prefill(self, work_id, *, handle, computed_tokens, took_s):
        self.events.append(("prefilled", work_id, handle))

    def add_tokens(self, work_id, texts):
        self.texts.extend(texts)

    def finish_decode(self, work_id, *, reason):
        self.events.append(("decoded", work_id, reason))

    def fail_work(self, work_id, *, code, started):
        self.events.append(("failed", work_id, started))

    def confirm_cancel(self, work_id):
        self.events.append(("cancelled", work_id))

    def reconcile_work(self, work_ids):
        self.work = work_ids


class EngineContractTest(testing.ReactorTestCase):
    def start(self, name, **speed):
        server = standins.EngineServer(
            reactor=self.reactor, speed=standins.EngineSpeed(**speed)
        )
        server.start()
        self.addCleanup(testing.run, server.close)
        return server, *self.connect(name, server.url)

    def connect(self, name, url):
        adapter = plugins.create(
            plugins.Kind.ENGINE, name, reactor=self.reactor, url=url
        )
        listener = Listener()
        adapter.start(listener)
        self.addCleanup(adapter.close)
        return adapter, listener

    def prefill(self, tokens=100):
        return messages.Prefill(
            request_id="r",
            attempt=1,
            model="m",
            prompt="p",
            prompt_tokens=tokens,
        )

    def decode(self, source="", handle="w"):
        return messages.Decode(
            request_id="r",
            attempt=1,
            model="m",
            prompt="p",
            prompt_tokens=100,
            max_tokens=8,
            source_address=source,
            handle=handle,
            transfer_limit_s=5.0,
        )

    @testing.on_reactor
    async def test_prefill_then_decode_gives_the_complete_answer(self):
        for name in plugins.list_names(plugins.Kind.ENGINE):
            source, adapter, listener = self.start(name)
            adapter.start_prefill("w", self.prefill())
            await self.wait_until(lambda events=listener.events: events)
            self.assertEqual(listener.events, [("prefilled", "w", "w")])
            _, target, target_listener = self.start(name)
            target.start_decode("v", self.decode(source.url))
            await self.wait_until(lambda events=target_listener.events: events)
            self.assertEqual(
                target_listener.events, [("decoded", "v", "length")]
            )
            self.assertEqual(
                "".join(target_listener.texts), standins.generate_text("p", 8)
            )
            self.assertEqual(source.model.list_work(), [])

    @testing.on_reactor
    async def test_failures_report_whether_work_has_started(self):
        for name in plugins.list_names(plugins.Kind.ENGINE):
            unreachable, listener = self.connect(name, "http://127.0.0.1:1")
            unreachable.start_prefill("w", self.prefill())
            await self.wait_until(lambda events=listener.events: events)
            self.assertEqual(listener.events, [("failed", "w", False)])
            server, full, full_listener = self.start(name, pieces=1)
            full.start_prefill("w", self.prefill())
            await self.wait_until(lambda events=full_listener.events: events)
            self.assertEqual(full_listener.events, [("failed", "w", False)])
            server, target, target_listener = self.start(name)
            target.start_decode("v", self.decode(server.url, "evicted"))
            await self.wait_until(lambda events=target_listener.events: events)
            self.assertEqual(target_listener.events, [("failed", "v", False)])

    @testing.on_reactor
    async def test_cancellation_frees_work_and_is_the_only_report(self):
        for name in plugins.list_names(plugins.Kind.ENGINE):
            server, adapter, listener = self.start(
                name, prefill_tokens_per_s=10.0
            )
            adapter.start_prefill("w", self.prefill())
            await self.wait_until(server.model.list_work)
            adapter.request_work_list()
            await self.wait_until(lambda listener=listener: listener.work)
            self.assertEqual(listener.work, ("w",))
            adapter.cancel("w")
            await self.wait_until(lambda events=listener.events: events)
            self.assertEqual(listener.events, [("cancelled", "w")])
            self.assertEqual(server.model.list_work(), [])

    @testing.on_reactor
    async def test_cancellation_is_confirmed_only_by_an_engine_that_is_gone(
        self,
    ):
        table = (
            (error.ConnectionRefusedError(), [("cancelled", "w")]),
            (error.TimeoutError(), []),
            (error.NoRouteError(), []),
        )
        for name in plugins.list_names(plugins.Kind.ENGINE):
            for failure, events in table:
                with self.subTest(name=name, failure=failure):
                    adapter, listener = self.connect(name, "http://127.0.0.1:1")
                    with mock.patch.object(
                        httpclient.HttpClient,
                        "request_json",
                        side_effect=lambda *_args, f=failure: defer.fail(f),
                    ):
                        adapter.cancel("w")
                    self.assertEqual(listener.events, events)
