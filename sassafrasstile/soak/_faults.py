"""The faults of the soak; each is injected repeatedly at random times."""

from collections.abc import Callable

from sassafrasstile.soak import _callers
from sassafrasstile.soak import _world

# The default of `GatewaySettings.lease_s`.
_LEASE_S = 2.5
# Callers that send twice in an outage of `crash_beside_waiting_calls`.
_CALLERS_IN_OUTAGE = 12


def _choose(world: _world.World, nodes):
    return world.generator.choice(nodes)


def _kill_and_restart(site, node) -> None:
    site.world.add_trace_line(f"{node.name} is killed")
    node.kill()
    delay_s = site.world.generator.uniform(0.2, 6.0)
    site.world.call_later(delay_s, node.start_if_dead)


def kill_gateway(site) -> None:
    """Kills a gateway and starts it again."""
    _kill_and_restart(site, _choose(site.world, site.gateways))


def kill_sidecar(site) -> None:
    """Kills a sidecar and starts it again; its endpoint keeps running."""
    _kill_and_restart(site, _choose(site.world, site.endpoints))


def kill_engine(site) -> None:
    """Kills a model engine and starts it again without work or KV cache."""
    node = _choose(site.world, site.engines)
    node.kill_engine()
    delay_s = site.world.generator.uniform(0.2, 5.0)
    site.world.call_later(delay_s, node.start_engine)


def pause_gateway(site) -> None:
    """Pauses a gateway, mostly for longer than a lease."""
    duration_s = site.world.generator.uniform(0.3, 4 * _LEASE_S)
    _choose(site.world, site.gateways).pause(duration_s)


def pause_sidecar(site) -> None:
    """Pauses a sidecar, mostly for longer than a lease."""
    duration_s = site.world.generator.uniform(0.3, 4 * _LEASE_S)
    _choose(site.world, site.endpoints).pause(duration_s)


def cut_link(site) -> None:
    """Cuts a link between a gateway and a sidecar."""
    link = _choose(site.world, site.links)
    site.world.add_trace_line(
        f"{link.gateway.name} and {link.sidecar.name} are cut off"
    )
    link.cut(site.world.generator.uniform(0.1, 8.0))


def stall_transfer(site) -> None:
    """Stalls the transfers from a prefill engine."""
    node = _choose(site.world, site.prefills)
    node.stall(site.world.generator.uniform(0.5, 6.0))


def disorder_network(site) -> None:
    """Delays, duplicates and reorders batches for a while."""
    site.world.add_trace_line("the network delays and duplicates batches")
    site.network_faults.duplicate_share = 0.1
    site.network_faults.delayed_share = 0.1

    def end():
        site.network_faults.duplicate_share = 0.0
        site.network_faults.delayed_share = 0.0

    site.world.call_later(site.world.generator.uniform(2.0, 15.0), end)


def stop_log(site) -> None:
    """Stops the log for up to a minute."""
    _stop_log_for(site, site.world.generator.uniform(1.0, 60.0))


def _stop_log_for(site, seconds: float) -> None:
    site.world.add_trace_line("the log is down")
    site.log.model.is_down = True

    def end():
        site.world.add_trace_line("the log is up")
        site.log.model.is_down = False

    site.world.call_later(seconds, end)


def crash_in_outage(site) -> None:
    """Kills a service's sidecar shortly before an outage of the log ends.

    The record of calls that it ran without a claim is then lost, and callers
    that wait for an answer retry once the log is available again.
    """
    outage_s = site.world.generator.uniform(2.0, 8.0)
    lead_s = site.world.generator.uniform(0.1, 1.0)
    node = _choose(site.world, site.services)
    _lose_later(site, node, outage_s - lead_s, _kill_and_restart)
    _stop_log_for(site, outage_s)


def _lose_later(site, node, delay_s: float, lose: Callable) -> None:
    def lose_if_alive():
        if node.is_alive:
            lose(site, node)

    site.world.call_later(delay_s, lose_if_alive)


def crash_beside_waiting_calls(site) -> None:
    """Loses a service's sidecar in an outage, beside callers that send twice.

    One gateway doesn't reach the sidecar, so the calls sent there wait. Second
    calls with their keys run at the sidecar without a claim. Instead of being
    killed, the sidecar may lose its VM.
    """
    generator = site.world.generator
    outage_s = generator.uniform(2.5, 8.0)
    node = _choose(site.world, site.services)
    _stop_log_for(site, outage_s)
    cut_off = _choose(site.world, site.gateways)
    cut_off.links[node.name].cut(outage_s)
    for index in range(_CALLERS_IN_OUTAGE):
        name = f"d{site.world.now:.3f}-{index}"
        site.report.requests += 1
        caller = _callers.BookingCaller(
            site=site,
            name=name,
            sends_twice=True,
            declares_again=index % 2 == 0,
        )
        site.world.call_later(generator.uniform(0.5, 1.0), caller.start)
    lose = generator.choice((_kill_and_restart, _lose_vm))
    lead_s = generator.uniform(0.1, 1.0)
    _lose_later(site, node, outage_s - lead_s, lose)


def lose_answers(site) -> None:
    """Drops responses of the log and delays appends for a while."""
    site.log.lost_share = 0.5
    site.log.delayed_share = 0.3

    def end():
        site.log.lost_share = 0.0
        site.log.delayed_share = 0.0

    site.world.call_later(site.world.generator.uniform(2.0, 20.0), end)


def drain_endpoint(site) -> None:
    """Drains and restarts an endpoint's sidecar."""
    _choose(site.world, site.endpoints).drain()


def drain_gateway(site) -> None:
    """Drains and restarts a gateway, if another one is ready."""
    ready = [
        node
        for node in site.gateways
        if node.is_alive and not node.is_draining and not node.is_paused
    ]
    if len(ready) > 1:
        _choose(site.world, ready).drain()


def lose_vm(site) -> None:
    """Removes a service's VM for good and replaces it by a new one."""
    node = _choose(site.world, site.services)
    if node.is_alive:
        _lose_vm(site, node)


def _lose_vm(site, node) -> None:
    site.world.add_trace_line(f"{node.vm} of {node.name} is lost")
    node.kill()
    site.vms.remove(node.vm)
    node.replace_vm()
    delay_s = site.world.generator.uniform(1.0, 8.0)
    site.world.call_later(delay_s, node.start_if_dead)


# The faults by name, with the mean time between injections in seconds.
_FAULTS: dict[str, tuple[Callable, float]] = {
    "kill_gateway": (kill_gateway, 45.0),
    "kill_sidecar": (kill_sidecar, 30.0),
    "kill_engine": (kill_engine, 40.0),
    "pause_gateway": (pause_gateway, 30.0),
    "pause_sidecar": (pause_sidecar, 30.0),
    "cut_link": (cut_link, 15.0),
    "stall_transfer": (stall_transfer, 30.0),
    "disorder_network": (disorder_network, 40.0),
    "stop_log": (stop_log, 120.0),
    "lose_answers": (lose_answers, 50.0),
    "crash_in_outage": (crash_in_outage, 60.0),
    "drain_endpoint": (drain_endpoint, 40.0),
    "drain_gateway": (drain_gateway, 60.0),
    "lose_vm": (lose_vm, 150.0),
    "crash_beside_waiting_calls": (crash_beside_waiting_calls, 20.0),
}
# Aimed at one order of events, and injected only where they are named.
DIRECTED_FAULT_NAMES = ("crash_beside_waiting_calls",)
FAULT_NAMES = tuple(
    name for name in _FAULTS if name not in DIRECTED_FAULT_NAMES
)


def schedule_faults(site, names: tuple[str, ...], *, end: float) -> None:
    """Injects faults at random times until an end.

    Args:
        site: The site.
        names: The faults, some of `FAULT_NAMES` or `DIRECTED_FAULT_NAMES`.
        end: The time after which no fault is injected.
    """
    for name in names:
        inject, mean_s = _FAULTS[name]
        _schedule_next(site, inject, mean_s, end)


def _schedule_next(site, inject: Callable, mean_s: float, end: float) -> None:
    delay_s = site.world.generator.expovariate(1.0 / mean_s)
    if site.world.now + delay_s >= end:
        return

    def inject_and_repeat():
        inject(site)
        _schedule_next(site, inject, mean_s, end)

    site.world.call_later(delay_s, inject_and_repeat)
