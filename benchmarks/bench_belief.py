"""What confirming keys costs a gateway, by the number of gateways.

Virtual time; only messages between gateways and calls to the store count.
"""

import time

from sassafrasstile.workspaces.tests import fleet

_SIZES = (2, 5, 24, 100, 300)
_SETTLE_S = 6.0
_RUN_S = 10.0


def main() -> None:
    """Prints a line for each size."""
    for count in _SIZES:
        group = fleet.Fleet(count, has_reports=False)
        group.start()
        group.run(_SETTLE_S)
        group.answers.clear()
        group.store.calls.clear()
        for gateway in group.gateways.values():
            gateway.sent = gateway.sent_bytes = 0
        oldest_s = 0.0

        def check(gateway):
            nonlocal oldest_s
            oldest_s = max(oldest_s, gateway.belief.measure_age_s())

        group.check = check
        began_at = time.process_time()
        group.run(_RUN_S)
        spent_s = time.process_time() - began_at
        gateways = group.gateways.values()
        print(
            f"{count} gateways: "
            f"{sum(item.sent for item in gateways) / count / _RUN_S:.2f} "
            f"datagrams a second from each, "
            f"{max(item.sent for item in gateways) / _RUN_S:.1f} at most, "
            f"{max(item.sent_bytes for item in gateways) / _RUN_S:.0f} B; "
            f"{max(group.answers.values(), default=0) / _RUN_S:.1f} answers; "
            f"{sum(group.store.calls.values()) / _RUN_S:.1f} calls to the "
            f"store from {len(group.store.calls)}; "
            f"oldest belief {oldest_s:.2f} s of {fleet.BOUND_S:g}; "
            f"run {spent_s:.1f} s"
        )
        group.close()


if __name__ == "__main__":
    main()
