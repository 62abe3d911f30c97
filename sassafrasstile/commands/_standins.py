"""`sassafrasstile standin`: the stand-ins as processes of their own."""

import cyclopts

from sassafrasstile import daemons
from sassafrasstile import settings
from sassafrasstile import telemetry

app = cyclopts.App(
    name="standin", help="Run a small stand-in for an outside system."
)


def _serve(make, listen: str) -> int:
    address = settings.parse_address(listen)
    telemetry.configure_logs(level="info", style="text")

    async def work(reactor):
        server = make(reactor)
        server.start(host=address.host, port=address.port)
        print(server.url, flush=True)
        await daemons.wait_for_stop(reactor)
        return 0

    return daemons.run_until_done(work)


@app.command
def engine(
    *,
    listen: str,
    slots: int = 20,
    pieces: int = 4096,
    prefill_tokens_per_s: float = 8000.0,
    step_s: float = 0.02,
    link_tokens_per_s: float = 40_000.0,
    prefill_ttl_s: float = 0.8,
    checks_fence: bool = True,
) -> int:
    """Run a model engine.

    Args:
        listen: IP number and port.
        slots: Requests at once.
        pieces: Pieces of memory.
        prefill_tokens_per_s: Prompt tokens computed a second.
        step_s: Seconds for one token of each running request.
        link_tokens_per_s: Tokens of KV cache a second over the link.
        prefill_ttl_s: Seconds until a finished prefill is evicted.
        checks_fence: Refuse orders with an old fencing number.
    """
    from sassafrasstile import standins

    speed = standins.EngineSpeed(
        slots=slots,
        pieces=pieces,
        prefill_tokens_per_s=prefill_tokens_per_s,
        step_s=step_s,
        link_tokens_per_s=link_tokens_per_s,
        prefill_ttl_s=prefill_ttl_s,
    )
    return _serve(
        lambda reactor: standins.EngineServer(
            reactor=reactor, speed=speed, checks_fence=checks_fence
        ),
        listen,
    )


@app.command
def service(*, listen: str, work_s: float = 0.02) -> int:
    """Run a plain service.

    Args:
        listen: IP number and port.
        work_s: Seconds that one call takes.
    """
    from sassafrasstile import standins

    return _serve(
        lambda reactor: standins.ServiceServer(reactor=reactor, work_s=work_s),
        listen,
    )


@app.command
def log(
    *,
    listen: str,
    appends_per_s: float = 400.0,
    retention_s: float = 3600.0,
) -> int:
    """Run the platform's append-only log.

    Args:
        listen: IP number and port.
        appends_per_s: Appends that it takes a second.
        retention_s: Seconds that it keeps a record.
    """
    from sassafrasstile import standins

    speed = standins.LogSpeed(
        appends_per_s=appends_per_s, retention_s=retention_s
    )
    return _serve(
        lambda reactor: standins.LogServer(reactor=reactor, speed=speed),
        listen,
    )


@app.command
def vms(*, listen: str, lag_s: float = 1.0) -> int:
    """Run the platform's list of live and leaving VMs.

    Args:
        listen: IP number and port.
        lag_s: Seconds until a change shows.
    """
    from sassafrasstile import standins

    return _serve(
        lambda reactor: standins.VmsServer(reactor=reactor, lag_s=lag_s),
        listen,
    )
