import json

from sassafrasstile import errors
from sassafrasstile import standins
from sassafrasstile import stores
from sassafrasstile import telemetry
from sassafrasstile import testing
from sassafrasstile import web
from sassafrasstile.platform import _store
from sassafrasstile.standins import _platform_store

_TOPIC = "keyed.t"
# Three: an empty one, one without a key, and one that ends within its key.
_ODD_RECORDS = b"\0\0\0\0" + b"\0\0\0\2\0v" + b"\0\0\0\3\x09ab"


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


class _OddStore(_platform_store.PlatformStoreResource):
    """Writes records without a key, and items that aren't records."""

    def _encode_records(self, request, topic, start):
        data = super()._encode_records(request, topic, start)
        return data[:16] + _ODD_RECORDS + data[16:]

    def read_newest(self, request):
        super().read_newest(request)
        odd = [{}, 7, {"key": "a", "value": None, "offset": 0}, [], None]
        odd.append({"key": "b", "value": "", "offset": float("inf")})
        items = [*odd, {"key": "k", "value": "dg==", "offset": 5}]
        return json.dumps({"items": items, "endOffset": 6}).encode()


class OddRecordTest(StoreTestCase):
    """Records of other writers that can't be read."""

    # Guards against a topic that can't be read on, or not at all, since one
    # record of it has no key (issue 56).
    @testing.on_reactor
    async def test_records_that_cannot_be_read_are_passed_over(self):
        await self.start()
        await self.put()
        self.server.store.__class__ = _OddStore
        page = await self.client.follow(_TOPIC, offset=0, wait_s=0.0)
        self.assertEqual([item.offset for item in page.changes], [3])
        self.assertEqual(page.next_offset, 4)
        snapshot = await self.client.load(_TOPIC)
        self.assertEqual([item.key for item in snapshot.entries], ["k"])
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
