"""A test case with gateways on the platform."""

from sassafrasstile.testing import _platform_site
from sassafrasstile.testing import _reactor

# By then the gateway has probed its endpoints.
_SETTLE_S = 0.4


class PlatformTestCase(_reactor.ReactorTestCase):
    """Starts sites, and closes them at the end of a test.

    Attributes:
        sites: The sites that the test has started.
    """

    def setUp(self):
        self.sites: list[_platform_site.PlatformSite] = []

    def make_site(
        self, routes: list[dict], **options
    ) -> _platform_site.PlatformSite:
        """Starts and configures a site without endpoints.

        Args:
            routes: The routes in the format of the platform's configuration.
            **options: Further arguments of `PlatformSite`.
        """
        site = _platform_site.PlatformSite(
            reactor=self.reactor, routes=routes, **options
        )
        site.start()
        self.sites.append(site)
        site.configure()
        return site

    async def wait_until_ready(self, site: _platform_site.PlatformSite) -> None:
        """Waits until the gateway serves and has probed the endpoints."""
        await self.wait_until(site.daemon.is_ready)
        await self.sleep(_SETTLE_S)

    async def close_sites(self) -> None:
        """Closes all sites; a test calls it before it checks their state."""
        for site in self.sites:
            await site.close()
