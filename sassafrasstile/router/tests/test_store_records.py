from sassafrasstile import standins
from sassafrasstile import testing


class StoreRecordsTest(testing.PlatformTestCase):
    """Configuration and membership changes, and outages of the store."""

    async def start_site(self):
        site = self.make_site(
            [testing.make_platform_route("/a/", "desk", "unsafe")]
        )
        site.add_endpoint("e0", standins.make_answer)
        await self.wait_until_ready(site)
        return site

    async def wait_for_status(self, site, path, status):
        for _ in range(100):
            answer = await site.call(path)
            if answer.status == status:
                return
            await self.sleep(0.05)
        self.fail(f"{path} never answered {status}")

    @testing.on_reactor
    async def test_added_route_is_served_and_removed_route_is_not(self):
        site = await self.start_site()
        site.routes = [testing.make_platform_route("/b/", "desk", "unsafe")]
        site.configure()
        await self.wait_for_status(site, "/b/", 200)
        self.assertEqual((await site.call("/a/")).status, 404)
        await self.close_sites()

    @testing.on_reactor
    async def test_older_version_is_ignored(self):
        site = await self.start_site()
        site.routes = [testing.make_platform_route("/b/", "desk", "unsafe")]
        site.version = 0
        site.configure()
        await self.sleep(0.5)
        self.assertEqual((await site.call("/a/")).status, 200)
        await self.close_sites()

    @testing.on_reactor
    async def test_invalid_records_leave_the_last_valid_ones_in_use(self):
        site = await self.start_site()
        site.store.put("keyed.op", "config", b"{broken")
        site.store.put("keyed.servers", "x1", b"\xff\x00")
        site.store.put_json("keyed.servers", "x2", {"service": "desk"})
        site.store.put_json(
            "keyed.servers", "x3", {"service": 7, "address": "nowhere"}
        )
        await self.sleep(0.5)
        self.assertEqual((await site.call("/a/")).status, 200)
        await self.close_sites()

    @testing.on_reactor
    async def test_draining_endpoint_gets_no_new_work(self):
        site = await self.start_site()
        other = site.add_endpoint("e1", standins.make_answer)
        site.announce("e0", state="draining")
        await self.sleep(0.5)
        before = len(site.endpoints["e0"].requests)
        for number in range(5):
            await site.call("/a/", request_id=f"q{number}")
        self.assertEqual(len(site.endpoints["e0"].requests), before)
        self.assertEqual(len(other.requests), 5)
        await self.close_sites()

    @testing.on_reactor
    async def test_store_outage_leaves_routes_and_endpoints_in_use(self):
        site = await self.start_site()
        for outage in ("busy", "reset", "silent"):
            site.store.outage = outage
            await self.sleep(0.3)
            self.assertEqual((await site.call("/a/")).status, 200)
        site.store.outage = ""
        site.routes = [testing.make_platform_route("/b/", "desk", "unsafe")]
        site.configure()
        await self.wait_for_status(site, "/b/", 200)
        await self.close_sites()

    @testing.on_reactor
    async def test_topic_is_reloaded_after_its_history_was_deleted(self):
        site = await self.start_site()
        site.routes = [testing.make_platform_route("/b/", "desk", "unsafe")]
        site.configure()
        site.store.compact("keyed.op")
        site.store.compact("keyed.servers")
        await self.wait_for_status(site, "/b/", 200)
        await self.close_sites()

    @testing.on_reactor
    async def test_restarted_endpoint_replaces_its_previous_incarnation(self):
        site = await self.start_site()
        old = site.endpoints["e0"]
        site.add_endpoint("e0", standins.make_answer)
        site.announce("e0", born=2)
        await self.sleep(0.5)
        before = len(old.requests)
        self.assertEqual((await site.call("/a/")).status, 200)
        self.assertEqual(len(old.requests), before)
        await self.close_sites()

    # Guards against work for an endpoint whose software version isn't known.
    @testing.on_reactor
    async def test_record_without_software_version_names_no_endpoint(self):
        site = await self.start_site()
        other = site.add_endpoint("e1", standins.make_answer, service="none")
        for version in (None, "", 7, ["v1"]):
            site.announce("e1", version=version)
        site.withdraw("e0")
        await self.sleep(0.5)
        self.assertEqual((await site.call("/a/")).status, 503)
        self.assertEqual(other.requests, [])
        await self.close_sites()
