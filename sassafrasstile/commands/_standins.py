"""The command `sassafrasstile standin`, which runs stand-ins as processes."""

import cyclopts

from sassafrasstile import daemons
from sassafrasstile import settings
from sassafrasstile import telemetry

app = cyclopts.App(
    name="standin", help="Run a small stand-in for an external system."
)


def _serve(make_server, listen: str) -> int:
    address = settings.parse_address(listen)
    telemetry.configure_logs(level="info", style="text")

    async def run(reactor):
        stopped = daemons.catch_stop()
        server = make_server(reactor)
        server.start(host=address.host, port=address.port)
        print(server.url, flush=True)
        await stopped
        return 0

    return daemons.run_until_done(run)


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
    """Run a stand-in for a model engine.

    Args:
        listen: The IP address and port to listen on.
        slots: The maximum number of concurrent requests.
        pieces: The number of memory blocks.
        prefill_tokens_per_s: Prompt tokens prefilled per second.
        step_s: Seconds for a decode step, which generates one token of each
            running request.
        link_tokens_per_s: Tokens of KV cache transferred per second.
        prefill_ttl_s: Seconds until the KV cache of a finished prefill is
            evicted.
        checks_fence: Refuse orders with an outdated fencing token.
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
    """Run a stand-in for a plain service.

    Args:
        listen: The IP address and port to listen on.
        work_s: Seconds that a call takes.
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
    """Run a stand-in for the platform's append-only log.

    Args:
        listen: The IP address and port to listen on.
        appends_per_s: The maximum number of appends per second.
        retention_s: Seconds until a record is deleted.
    """
    from sassafrasstile import standins

    limits = standins.LogLimits(
        appends_per_s=appends_per_s, retention_s=retention_s
    )
    return _serve(
        lambda reactor: standins.LogServer(reactor=reactor, limits=limits),
        listen,
    )


@app.command
def vms(*, listen: str, lag_s: float = 1.0) -> int:
    """Run a stand-in for the platform's list of live and leaving VMs.

    Args:
        listen: The IP address and port to listen on.
        lag_s: Seconds until a change is visible.
    """
    from sassafrasstile import standins

    return _serve(
        lambda reactor: standins.VmsServer(reactor=reactor, lag_s=lag_s),
        listen,
    )
