"""Records of other writers in the store, beside sound requests."""

from sassafrasstile import testing
from sassafrasstile.faultsoak.tests import process_site

_REQUESTS = 6
# By then each gateway has read what was written.
_READ_S = 1.0


class OddRecordTest(testing.ReactorTestCase):
    """Odd records of another writer harm nobody else."""

    async def start_site(self, prepare=lambda site: None):
        self.site = process_site.GatewaySite(reactor=self.reactor)
        prepare(self.site)
        self.site.start()
        self.number = 0
        for gateway in self.site.gateways:
            self.addCleanup(gateway.close)
            await self.wait_until(gateway.accepts_callers)

    async def check_requests(self, paths=process_site.PATHS, count=_REQUESTS):
        for gateway in self.site.gateways:
            for path in paths * count:
                self.number += 1
                name = f"{self.number:08x}"
                answer = await self.site.ask(gateway, path, name)
                self.assertTrue(
                    process_site.is_whole(path, answer),
                    (path, gateway.name, answer.data[:200]),
                )
                self.assertEqual(self.site.runs[name], 1)

    async def check_topics_are_followed(self):
        """Checks that later records of both topics are in force."""
        site = self.site
        site.configure(testing.make_platform_route("/later/", "desk", "unsafe"))
        later = site.add_endpoint("later")
        for name in ("e0", "e1"):
            site.store.put("keyed.servers", name, b"")
        await self.sleep(2 * _READ_S)
        before = len(later.requests)
        await self.check_requests(paths=("/later/",))
        asked = len(site.gateways) * _REQUESTS
        self.assertEqual(len(later.requests) - before, asked)

    def check_processes(self):
        for gateway in self.site.gateways:
            self.assertTrue(gateway.is_running)
        logs = self.site.read_logs()
        for word in ("CRITICAL", "Traceback", "is silent"):
            self.assertNotIn(word, logs)

    def write_odd_records(self, site):
        sound = testing.make_endpoint_document(port=testing.pick_port())
        for key, value in testing.make_odd_endpoints(sound).items():
            site.store.put("keyed.servers", key, value)
        for key, value in testing.ODD_GATEWAYS.items():
            site.store.put("keyed.gateways", key, value)
        for value in testing.ODD_LEASES:
            site.store.put("keyed.orders", "holder", value)

    # Guards against calls that fail, and lists that aren't followed any more,
    # once another writer has left one odd record (issue 56).
    @testing.on_reactor
    async def test_odd_records_while_gateways_run(self):
        await self.start_site()
        await self.check_requests()
        self.write_odd_records(self.site)
        await self.sleep(_READ_S)
        await self.check_requests()
        await self.check_topics_are_followed()
        self.check_processes()
        await self.site.close()

    # Guards against gateways that don't start, or don't hear of each other,
    # beside odd records (issue 56).
    @testing.on_reactor
    async def test_odd_records_before_gateways_start(self):
        await self.start_site(self.write_odd_records)
        await self.check_requests()
        # Until a gateway without reports would count as silent.
        await self.sleep(4 * _READ_S)
        await self.check_topics_are_followed()
        self.check_processes()
        await self.site.close()
