"""Gateways that ignore what they learn, for tests of the soak's checks.

python -m sassafrasstile.faultsoak.tests.deaf_gateway leaving
"""

import dataclasses
import sys

from sassafrasstile import dispatch
from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import workspaces
from sassafrasstile.platform import __main__ as platform_main

_WITHOUT = {
    "leaving": {"is_leaving": False},
    "backoff": {"backoff_s": None},
}
_FIND = {
    "crashes": lambda self, prompt: None,
    # Refuses every prompt once any is refused for its parts.
    "answers": lambda self, prompt: next(
        (item for item in self._active if item.parts), None
    ),
}


def _ignore(kind: str) -> None:
    """Removes a kind of notice before it is applied."""
    apply = dispatch.SendRestrictions.apply

    def apply_others(self, notice, *, now, spread):
        rest = dataclasses.replace(notice, **_WITHOUT[kind])
        return apply(self, rest, now=now, spread=spread)

    dispatch.SendRestrictions.apply = apply_others


if __name__ == "__main__":
    if sys.argv[1] == "peers":
        # Each gateway keeps all of a rate by itself.
        permits.SharedRateLimiter._rank = lambda self, key: [self.name]
    elif sys.argv[1] == "keys":
        # Keys are checked on arrival only.
        checker = workspaces.AccessChecker
        checker.find_denial = lambda self, access: None
        checker.review = lambda self, access, **fields: access
    elif sys.argv[1] == "belief":
        # The last known keys are relied on, however old they are.
        workspaces.AccessChecker._is_relied_on = lambda self: True
    elif sys.argv[1] in _FIND:
        quarantine.Quarantine.find = _FIND[sys.argv[1]]
    else:
        _ignore(sys.argv[1])
    sys.exit(platform_main.main())
