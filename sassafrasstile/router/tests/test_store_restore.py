from sassafrasstile import standins
from sassafrasstile import testing


class StoreRestoreTest(testing.PlatformTestCase):
    """The store comes back from a copy that is some seconds old."""

    async def start_site(self, **options):
        site = self.make_site(
            [testing.make_platform_route("/a/", "desk", "unsafe")], **options
        )
        site.add_endpoint("e0", standins.make_answer)
        await self.wait_until_ready(site)
        return site

    def add_route(self, site):
        site.routes = [
            *site.routes,
            testing.make_platform_route("/b/", "desk", "unsafe"),
        ]
        site.configure()

    async def call_route(self, site, path="/b/"):
        return (await site.call(path)).status

    async def wait_for_status(self, site, path, status):
        for _ in range(100):
            if await self.call_route(site, path) == status:
                return
            await self.sleep(0.05)
        self.fail(f"{path} never answered {status}")

    # A gateway that reads on at its former offset misses the records before it.
    @testing.on_reactor
    async def test_records_at_reused_offsets_are_read(self):
        site = await self.start_site()
        former = site.store.make_copy()
        site.store.put("keyed.op", "other", b"1")
        site.store.put("keyed.op", "other", b"2")
        await self.sleep(0.5)
        site.store.restore(former)
        self.add_route(site)
        site.store.put("keyed.op", "other", b"3")
        site.store.put("keyed.op", "other", b"4")
        await self.wait_for_status(site, "/b/", 200)
        await self.close_sites()

    # What is written again at lower offsets is newer than what was lost.
    @testing.on_reactor
    async def test_version_after_lost_ones_is_in_force(self):
        site = await self.start_site()
        former = site.store.make_copy()
        site.configure()
        site.configure()
        await self.sleep(0.5)
        site.store.restore(former)
        self.add_route(site)
        await self.wait_for_status(site, "/b/", 200)
        await self.close_sites()

    # The copy holds the version before the one in force.
    @testing.on_reactor
    async def test_configuration_in_force_stays_in_force(self):
        site = await self.start_site()
        former = site.store.make_copy()
        self.add_route(site)
        await self.wait_for_status(site, "/b/", 200)
        site.store.restore(former)
        for _ in range(30):
            self.assertEqual(await self.call_route(site), 200)
            await self.sleep(0.1)
        # The operator writes the lost version again, and then a newer one.
        site.version -= 1
        site.configure()
        site.routes = [*site.routes[1:]]
        site.configure()
        await self.wait_for_status(site, "/a/", 404)
        self.assertEqual(await self.call_route(site), 200)
        await self.close_sites()

    # Its peers have a newer version in force than the copy holds.
    @testing.on_reactor
    async def test_starting_gateway_is_not_ready_with_an_old_version(self):
        first = await self.start_site()
        former = first.store.make_copy()
        self.add_route(first)
        await self.wait_for_status(first, "/b/", 200)
        first.store.restore(former)
        second = first.add_gateway("gateway-2", zone="a")
        for _ in range(20):
            await self.sleep(0.1)
            self.assertFalse(second.is_ready())
        first.version -= 1
        first.configure()
        await self.wait_until(second.is_ready, timeout_s=3.0)
        caller = await testing.connect(self.reactor, second.port)
        caller.send(testing.make_request("/b/"))
        self.assertEqual((await caller.read_all()).status, 200)
        await self.close_sites()

    # The copy lacks an endpoint that registered after it was made.
    @testing.on_reactor
    async def test_endpoint_that_the_copy_lacks_stays_in_use(self):
        site = await self.start_site()
        site.withdraw("e0")
        former = site.store.make_copy()
        site.announce("e0", born=2)
        await self.sleep(0.5)
        site.store.restore(former)
        for _ in range(12):
            self.assertEqual(await self.call_route(site, "/a/"), 200)
            await self.sleep(0.1)
        site.announce("e0", born=2)
        for _ in range(20):
            self.assertEqual(await self.call_route(site, "/a/"), 200)
            await self.sleep(0.1)
        await self.close_sites()

    # An endpoint that the copy lacks and that doesn't return is gone.
    @testing.on_reactor
    async def test_endpoint_that_is_not_registered_again_is_dropped(self):
        site = await self.start_site()
        site.withdraw("e0")
        former = site.store.make_copy()
        site.announce("e0", born=2)
        await self.sleep(0.5)
        site.store.restore(former)
        await self.wait_for_status(site, "/a/", 503)
        await self.close_sites()

    # The copy holds an endpoint as it was before it was removed.
    @testing.on_reactor
    async def test_removed_endpoint_in_the_copy_gets_no_work(self):
        site = await self.start_site()
        former = site.store.make_copy()
        site.withdraw("e0")
        await self.wait_for_status(site, "/a/", 503)
        site.store.restore(former)
        for _ in range(20):
            self.assertEqual(await self.call_route(site, "/a/"), 503)
            await self.sleep(0.1)
        await self.close_sites()

    # The copy says that an endpoint is ready which has announced its leaving.
    @testing.on_reactor
    async def test_draining_endpoint_in_the_copy_gets_no_work(self):
        site = await self.start_site()
        former = site.store.make_copy()
        site.announce("e0", state="draining")
        await self.wait_for_status(site, "/a/", 503)
        site.store.restore(former)
        for _ in range(20):
            self.assertEqual(await self.call_route(site, "/a/"), 503)
            await self.sleep(0.1)
        await self.close_sites()

    # An error of the new epoch tells as much as a read.
    @testing.on_reactor
    async def test_restore_seen_in_an_error_is_counted_once(self):
        site = await self.start_site()
        former = site.store.make_copy()
        site.store.outage = "busy"
        site.store.restore(former)
        await self.sleep(1.5)
        self.assertEqual(self.count_epochs(site), 1)
        site.store.outage = ""
        self.add_route(site)
        await self.wait_for_status(site, "/b/", 200)
        self.assertEqual(self.count_epochs(site), 1)
        await self.close_sites()

    def count_epochs(self, site):
        return site.metrics.registry.get_sample_value(
            "sassafrasstile_store_epochs_total"
        )

    # The topic of the addresses is read rarely otherwise.
    @testing.on_reactor
    async def test_lost_address_of_a_gateway_is_written_again(self):
        site = await self.start_site()
        site.store.restore(standins.StoreCopy(topics={}))
        topic = "keyed.gateways"
        await self.wait_until(
            lambda: site.store.get_topic(topic).end_offset > 0, timeout_s=8.0
        )
        await self.close_sites()

    # A header that can't be read is no news.
    @testing.on_reactor
    async def test_malformed_epoch_changes_nothing(self):
        site = await self.start_site()
        for text in ("x", "-1", "2.0", "", "9" * 40):
            site.store.stated_era = text
            await self.sleep(0.3)
            self.assertEqual(await self.call_route(site, "/a/"), 200)
        self.add_route(site)
        await self.wait_for_status(site, "/b/", 200)
        self.assertEqual(self.count_epochs(site), 0)
        await self.close_sites()
