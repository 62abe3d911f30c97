"""A key is withdrawn while a gateway is out of touch with the store."""

from sassafrasstile import errors
from sassafrasstile import standins
from sassafrasstile import stores
from sassafrasstile import testing

_MAX_KEY_AGE_S = 2.0
# That of the test's sites.
_PROPAGATION_LIMIT_S = 2.0
_KEY = "k-kept-11d0"
_WITHDRAWN_KEY = "k-gone-52c7"
_OTHER = "gateway-2"
_UNAUTHORIZED = 401
_UNCONFIRMED = 503


class KeyBeliefTest(testing.PlatformTestCase):
    """Two gateways; the second one can't reach the store."""

    async def start_site(self, max_key_age_s=_MAX_KEY_AGE_S):
        self.site = self.make_site(
            [
                testing.make_platform_route(
                    "/safe/", "desk", "safe", maxAttempts=2
                ),
                testing.make_platform_route(
                    "/open/", "desk", "safe", public=True
                ),
            ],
            max_key_age_s=max_key_age_s,
        )
        self.site.add_gateway(_OTHER, zone="a")
        self.site.add_endpoint("e0", standins.make_answer)
        self.configure(_KEY, _WITHDRAWN_KEY)
        await self.wait_until_ready(self.site)
        await self.wait_until(self.site.get_gateway(_OTHER).is_ready)
        for key in (_KEY, _WITHDRAWN_KEY):
            await self.wait_for_status(200, key)

    def configure(self, *keys):
        self.site.workspaces = [testing.make_workspace_document("one", *keys)]
        self.site.configure()

    async def call(self, key, path="/safe/"):
        """Returns the status that the second gateway answers."""
        answer = await self.site.call(
            path, gateway=_OTHER, headers=(f"Authorization: Token {key}",)
        )
        return answer.status

    async def wait_for_status(self, status, key):
        for _ in range(100):
            if await self.call(key) == status:
                return
            await self.sleep(0.05)
        self.fail(f"never answered {status}")

    def cut_from_store(self):
        async def refuse(*_arguments, **_options):
            raise stores.StoreError(
                code=errors.Code.STORE_UNAVAILABLE, detail="turned away"
            )

        gateway = self.site.get_gateway(_OTHER)
        gateway._store._store._call = refuse

    def cut_from_peers(self):
        channel = self.site.get_gateway(_OTHER)._channel
        channel.datagramReceived = lambda _data, _address: None

    @testing.on_reactor
    async def test_gateway_that_hears_others_goes_on_and_learns_of_it(self):
        await self.start_site()
        self.cut_from_store()
        await self.sleep(1.5 * _MAX_KEY_AGE_S)
        self.assertEqual(await self.call(_WITHDRAWN_KEY), 200)
        self.configure(_KEY)
        await self.wait_for_status(_UNAUTHORIZED, _WITHDRAWN_KEY)
        await self.wait_for_status(200, _KEY)
        await self.close_sites()

    @testing.on_reactor
    async def test_gateway_that_hears_nobody_refuses_requests_with_keys(self):
        await self.start_site()
        self.cut_from_store()
        self.cut_from_peers()
        self.configure(_KEY)
        await self.sleep(_MAX_KEY_AGE_S)
        for key in (_WITHDRAWN_KEY, _KEY):
            self.assertEqual(await self.call(key), _UNCONFIRMED)
            self.assertEqual(await self.call(key, "/open/"), 200)
        await self.close_sites()

    # It may be of another software version, and withdraw keys.
    @testing.on_reactor
    async def test_configuration_that_cannot_be_read_ends_the_belief(self):
        await self.start_site()
        self.site.store.put("keyed.op", "config", b"{broken")
        await self.sleep(_MAX_KEY_AGE_S + 0.5)
        self.assertEqual(await self.call(_KEY), _UNCONFIRMED)
        self.configure(_KEY)
        await self.wait_for_status(200, _KEY)
        await self.close_sites()

    # Nobody keeps the belief young then; the last known keys are relied on.
    @testing.on_reactor
    async def test_without_a_bound_other_keys_are_refused_as_unknown(self):
        await self.start_site(max_key_age_s=None)
        self.cut_from_store()
        self.cut_from_peers()
        await self.sleep(_PROPAGATION_LIMIT_S + 0.5)
        self.assertEqual(await self.call("k-nobody"), _UNAUTHORIZED)
        self.assertEqual(await self.call(_KEY), 200)
        await self.close_sites()
