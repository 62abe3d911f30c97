"""Tests every registered log client against the log stand-in."""

from sassafrasstile import errors
from sassafrasstile import logs
from sassafrasstile import plugins
from sassafrasstile import standins
from sassafrasstile import testing


class LogContractTest(testing.ReactorTestCase):
    def start(self, name, **limits):
        server = standins.LogServer(
            reactor=self.reactor, limits=standins.LogLimits(**limits)
        )
        server.start()
        self.addCleanup(testing.run, server.close)
        client = plugins.create(
            plugins.Kind.LOG, name, reactor=self.reactor, url=server.url
        )
        self.addCleanup(client.close)
        return server, client

    async def expect_append_error(self, client):
        try:
            await client.append("s", b"x")
        except errors.LogUnavailableError as error:
            return error
        return self.fail("the append succeeded")

    @testing.on_reactor
    async def test_appended_records_are_read_in_order(self):
        for name in plugins.list_names(plugins.Kind.LOG):
            _, client = self.start(name)
            offsets = [
                await client.append("s", b"a"),
                await client.append("s", b"b"),
            ]
            self.assertEqual(offsets, [0, 1])
            page = await client.read("s", start=1, wait_s=0)
            self.assertEqual((page.first_offset, page.next_offset), (0, 2))
            self.assertEqual([entry.body for entry in page.entries], [b"b"])

    @testing.on_reactor
    async def test_failed_append_reports_whether_it_may_have_taken_effect(self):
        for name in plugins.list_names(plugins.Kind.LOG):
            server, client = self.start(name)
            server.model.is_down = True
            error = await self.expect_append_error(client)
            self.assertFalse(error.may_have_taken_effect)
            server.model.is_down = False
            server.resource.lose_answers = 1
            error = await self.expect_append_error(client)
            self.assertTrue(error.may_have_taken_effect)
            page = await client.read("s", start=0, wait_s=0)
            self.assertEqual(len(page.entries), 1)

    @testing.on_reactor
    async def test_expired_records_raise_the_first_offset(self):
        for name in plugins.list_names(plugins.Kind.LOG):
            _, client = self.start(name, retention_s=0.05)
            await client.append("s", b"a")
            await self.sleep(0.1)
            page = await client.read("s", start=0, wait_s=0)
            self.assertEqual((page.first_offset, page.next_offset), (1, 1))

    @testing.on_reactor
    async def test_follower_continues_after_an_outage(self):
        for name in plugins.list_names(plugins.Kind.LOG):
            server, client = self.start(name)
            seen = []
            follower = logs.LogFollower(
                reactor=self.reactor,
                client=client,
                stream="s",
                on_page=lambda page, seen=seen: seen.extend(page.entries),
            )
            follower.start()
            self.addCleanup(follower.close)
            await client.append("s", b"a")
            await self.wait_until(lambda seen=seen: len(seen) == 1)
            server.model.is_down = True
            await self.sleep(0.1)
            server.model.is_down = False
            await client.append("s", b"b")
            await self.wait_until(lambda seen=seen: len(seen) == 2)
            self.assertEqual([entry.offset for entry in seen], [0, 1])
