from sassafrasstile import errors
from sassafrasstile import standins
from sassafrasstile import stores
from sassafrasstile import telemetry
from sassafrasstile import testing
from sassafrasstile import web
from sassafrasstile.platform import _store

_TOPIC = "keyed.t"


class StoreTestCase(testing.ReactorTestCase):
    """Starts a store and its client."""

    async def start(self, **options):
        self.server = standins.PlatformStoreServer(reactor=self.reactor)
        self.server.start()
        self.client = _store.PlatformStore(
            reactor=self.reactor,
            host=self.server.host,
            port=self.server.port,
            metrics=telemetry.RouterMetrics(),
            **options,
        )

    async def close(self):
        self.client.close()
        await self.server.close()

    def put(self, at=None):
        return self.client.put(_TOPIC, key="k", value=b"v", at=at)

    async def fail(self, call):
        try:
            await call
        except stores.StoreError as reason:
            return reason
        raise AssertionError("the call has succeeded")


class StoreEpochTest(StoreTestCase):
    """The epoch of the store in the results and errors of its calls."""

    # Who compares the epochs must see them in every kind of result.
    @testing.on_reactor
    async def test_results_have_the_epoch(self):
        await self.start()
        self.server.store.era = 7
        appended = await self.put()
        self.assertEqual(appended, stores.AppendedRecord(offset=0, epoch=7))
        snapshot = await self.client.load(_TOPIC)
        self.assertEqual((snapshot.next_offset, snapshot.epoch), (1, 7))
        page = await self.client.follow(_TOPIC, offset=0, wait_s=0.0)
        self.assertEqual((page.next_offset, page.epoch), (1, 7))
        await self.close()

    # A failed conditional append may be the first sign of a restore.
    @testing.on_reactor
    async def test_errors_have_the_epoch(self):
        await self.start()
        conflict = await self.fail(self.put(at=9))
        gone = await self.fail(self.client.follow(_TOPIC, offset=9, wait_s=0.0))
        self.server.store.outage = "busy"
        busy = await self.fail(self.client.load(_TOPIC))
        self.server.store.outage = "reset"
        lost = await self.fail(self.client.load(_TOPIC))
        seen = [(item.code, item.epoch) for item in (conflict, gone, busy)]
        self.assertEqual(
            seen,
            [
                (errors.Code.CONFLICT, 1),
                (errors.Code.HISTORY_GONE, 1),
                (errors.Code.STORE_UNAVAILABLE, 1),
            ],
        )
        self.assertIsNone(lost.epoch)
        await self.close()

    # A foreign value must not be taken for news, nor fill the log.
    @testing.on_reactor
    async def test_malformed_epoch_is_unknown_and_logged_once(self):
        await self.start()
        values = ("x", "-1", "+2", "2.0", "1 2", "9" * 30, "\u00b2")
        with self.assertLogs("sassafrasstile.stores", "WARNING") as logs:
            for text in values:
                self.server.store.stated_era = text
                self.assertIsNone((await self.put()).epoch, text)
        self.assertEqual(len(logs.records), 1)
        self.server.store.stated_era = ""
        self.assertIsNone((await self.put()).epoch)
        await self.close()


class StoreBoundTest(StoreTestCase):
    """Answers of the store that are larger than a bound."""

    @testing.on_reactor
    async def test_records_are_read_in_short_pages_if_a_page_is_too_large(self):
        await self.start(bounds=web.ReadBounds(store_bytes=2000))
        for _ in range(20):
            await self.client.put(_TOPIC, key="k", value=b"v" * 200)
        offsets = []
        while len(offsets) < 20:
            page = await self.client.follow(
                _TOPIC, offset=len(offsets), wait_s=0.0
            )
            offsets += [change.offset for change in page.changes]
        await self.close()
        self.assertEqual(offsets, list(range(20)))

    @testing.on_reactor
    async def test_too_large_answer_is_an_error(self):
        await self.start(bounds=web.ReadBounds(store_bytes=100))
        await self.client.put(_TOPIC, key="k", value=b"v" * 200)
        failures = [
            await self.fail(self.client.load(_TOPIC)),
            await self.fail(self.client.follow(_TOPIC, offset=0, wait_s=0.0)),
        ]
        await self.close()
        codes = {failure.code for failure in failures}
        self.assertEqual(codes, {errors.Code.ANSWER_TOO_LARGE})
