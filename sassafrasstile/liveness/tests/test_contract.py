"""Tests every registered liveness source against the VM stand-in."""

from sassafrasstile import plugins
from sassafrasstile import standins
from sassafrasstile import testing


class LivenessContractTest(testing.ReactorTestCase):
    @testing.on_reactor
    async def test_reported_states_match_the_platform(self):
        server = standins.VmsServer(reactor=self.reactor, lag_s=0.0)
        server.start()
        self.addCleanup(testing.run, server.close)
        for vm, state in (("a", "live"), ("b", "leaving"), ("c", "gone")):
            server.set_state(vm, state)
        await self.sleep(0.05)
        for name in plugins.list_names(plugins.Kind.LIVENESS):
            source = plugins.create(
                plugins.Kind.LIVENESS,
                name,
                reactor=self.reactor,
                url=server.url,
                poll_s=0.05,
            )
            seen = []
            source.start(seen.append)
            self.addCleanup(source.close)
            if name == "none":
                await self.sleep(0.2)
                self.assertEqual(seen, [])
                continue
            await self.wait_until(lambda seen=seen: seen)
            self.assertEqual(seen[-1].live, frozenset({"a"}))
            self.assertEqual(seen[-1].leaving, frozenset({"b"}))
