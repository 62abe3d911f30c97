"""Soak test of real gateway processes with injected faults.

    python -m sassafrasstile.faultsoak --seed 7 --seconds 30

Each gateway is a separate process that speaks the platform's protocol;
stand-ins, loopback proxies and callers run in this process. Signals stop,
suspend and kill the gateways, connections are reset, delayed or silenced,
endpoints and the store fail, and endpoints announce that they leave or ask for
a back-off. Engines of one service crash under prompts with one part. The store
is also restored from older copies while versions of the
configuration are published. Answers, executions and what endpoints were sent
are checked against the guarantees of the router.

    python -m sassafrasstile.faultsoak --stops --seed 7 --seconds 40

Here nothing fails. Gateways are stopped, alone and together, beside callers
who keep their connections and engines with little room, and no request may be
lost that the rules on planned work don't excuse.
"""

from sassafrasstile.faultsoak._run import SoakReport, SoakRun
from sassafrasstile.faultsoak._stop_callers import Traffic
from sassafrasstile.faultsoak._stops import StopReport, StopRun

__all__ = ["SoakReport", "SoakRun", "StopReport", "StopRun", "Traffic"]
