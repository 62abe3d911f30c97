from sassafrasstile import standins
from sassafrasstile import testing

_READ = "/sassafrasstile/log-read?topic=keyed.t&part=0&from="
_APPEND = "/sassafrasstile/log-append?topic=keyed.t&part=0&at="


class PlatformStoreTest(testing.ReactorTestCase):
    """The stand-in of the store comes back from a copy."""

    async def start(self):
        self.server = standins.PlatformStoreServer(reactor=self.reactor)
        self.server.start()
        self.store = self.server.store

    async def call(self, target, *, method="GET", body=""):
        caller = await testing.connect(self.reactor, self.server.port)
        caller.send(testing.make_request(target, method=method, body=body))
        return await caller.read_all()

    def read_era(self, answer):
        head = answer.data.partition(b"\r\n\r\n")[0].decode().lower()
        lines = [line for line in head.split("\r\n") if "store-era" in line]
        self.assertLessEqual(len(lines), 1)
        return lines[0].partition(": ")[2] if lines else None

    # A client compares the era in every answer, failures included.
    @testing.on_reactor
    async def test_every_answer_states_the_era(self):
        await self.start()
        self.store.put("keyed.t", "k", b"v")
        answers = [
            await self.call(_READ + "0"),
            await self.call(_READ + "9"),
            await self.call(_APPEND + "9", method="POST", body="12341k"),
            await self.call("/sassafrasstile/log-newest?topic=keyed.t&part=0"),
        ]
        self.store.outage = "busy"
        answers.append(await self.call(_READ + "0"))
        self.assertEqual(
            [answer.status for answer in answers], [200, 410, 412, 200, 503]
        )
        self.assertEqual({self.read_era(item) for item in answers}, {"1"})
        await self.server.close()

    # Without a change of the era, a client couldn't tell the two records apart.
    @testing.on_reactor
    async def test_offsets_are_given_out_again_after_a_restore(self):
        await self.start()
        self.store.put("keyed.t", "k", b"1")
        former = self.store.make_copy()
        self.assertEqual(self.store.put("keyed.t", "k", b"2"), 1)
        lost = self.store.restore(former)
        self.assertEqual(lost, {"keyed.t": [("k", b"2")]})
        self.assertEqual((await self.call(_READ + "2")).status, 410)
        self.assertEqual(self.store.put("keyed.t", "l", b"3"), 1)
        answer = await self.call(_READ + "1")
        self.assertTrue(answer.body.endswith(b"\x01l3"))
        self.assertEqual(self.read_era(answer), "2")
        await self.server.close()

    @testing.on_reactor
    async def test_waiting_read_gets_no_answer_from_the_copy(self):
        await self.start()
        former = self.store.make_copy()
        self.reactor.callLater(0.1, self.store.restore, former)
        answer = await self.call(_READ + "0&waitMs=5000")
        self.assertEqual(answer.data, b"")
        await self.server.close()

    @testing.on_reactor
    async def test_era_can_be_misstated(self):
        await self.start()
        self.store.stated_era = "x"
        self.assertEqual(self.read_era(await self.call(_READ + "0")), "x")
        self.store.stated_era = ""
        self.assertIsNone(self.read_era(await self.call(_READ + "0")))
        await self.server.close()
