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
"""

from sassafrasstile.faultsoak._run import SoakReport, SoakRun

__all__ = ["SoakReport", "SoakRun"]
