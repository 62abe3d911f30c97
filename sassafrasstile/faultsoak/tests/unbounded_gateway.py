"""Gateways without bounds on what they read, for tests of the soak's checks.

python -m sassafrasstile.faultsoak.tests.unbounded_gateway
"""

import sys

from sassafrasstile import web
from sassafrasstile.platform import __main__ as platform_main

_UNREACHED_BYTES = 1 << 50


if __name__ == "__main__":
    web.ReadBounds.get = lambda _self, _kind: _UNREACHED_BYTES
    web.BufferMeter.update = lambda _self, _share, _difference: None
    sys.exit(platform_main.main())
