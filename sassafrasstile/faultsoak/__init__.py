"""A soak of real gateway processes, with faults injected from outside.

    python -m sassafrasstile.faultsoak --seed 7 --seconds 30

Gateways run as processes of their own on the platform's protocol; stand-ins,
loopback proxies and callers run here. Processes are stopped, paused, killed
and restarted by signals, connections are reset, delayed or silenced, and the
store fails. What callers and endpoints see is checked against the promises.
"""

from sassafrasstile.faultsoak._run import SoakReport, SoakRun

__all__ = ["SoakReport", "SoakRun"]
