"""The command `sassafrasstile` and its subcommands.

Exit codes: 0 for success; 1 if an invariant or a guarantee was violated or work
was cut off; 2 for an invalid argument or configuration.
"""

import dataclasses
import json
import sys
from typing import Annotated, Literal

import cyclopts

import sassafrasstile
from sassafrasstile import daemons
from sassafrasstile import errors
from sassafrasstile import plugins
from sassafrasstile import settings
from sassafrasstile import telemetry
from sassafrasstile import validation
from sassafrasstile.commands import _standins

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

app = cyclopts.App(
    name="sassafrasstile",
    help="A router for separate prefill and decode pools.",
    version=sassafrasstile.__version__,
)
config_app = cyclopts.App(name="config", help="Check and show settings.")
app.command(config_app)
app.command(_standins.app)

_Config = Annotated[str, cyclopts.Parameter(help="The base configuration.")]
_Overlay = Annotated[
    list[str] | None, cyclopts.Parameter(help="The site's overlay.")
]
_Name = Annotated[str, cyclopts.Parameter(help="The name in the settings.")]
_SiteName = Literal["fellesvarsel", "kestrelvlei"]


def _load(config: str, overlay: list[str] | None) -> settings.Site:
    site = settings.load_site([config, *(overlay or [])])
    telemetry.configure_logs(
        level=site.logging.level, style=site.logging.format
    )
    return site


def _check_name(name: str, names: dict, kind: str) -> None:
    if name not in names:
        raise errors.ConfigurationError(
            code=errors.Code.BAD_VALUE,
            detail=f"--name is {name!r}; allowed {kind} are {sorted(names)}",
        )


@app.command
def gateway(
    *, config: _Config, overlay: _Overlay = None, name: _Name = ""
) -> int:
    """Run a gateway until SIGTERM or SIGINT."""
    site = _load(config, overlay)
    if not name and len(site.gateways) == 1:
        name = next(iter(site.gateways))
    _check_name(name, site.gateways, "gateways")

    async def run(reactor):
        stopped = daemons.catch_stop()
        daemon = daemons.GatewayDaemon(reactor=reactor, name=name, site=site)
        daemon.start()
        await stopped
        return EXIT_OK if await daemon.drain() else EXIT_FAILURE

    return daemons.run_until_done(run)


@app.command
def sidecar(
    *, config: _Config, overlay: _Overlay = None, name: _Name = ""
) -> int:
    """Run the sidecar of an endpoint until SIGTERM or SIGINT."""
    site = _load(config, overlay)
    _check_name(name, site.endpoints, "endpoints")

    async def run(reactor):
        stopped = daemons.catch_stop()
        daemon = daemons.SidecarDaemon(reactor=reactor, name=name, site=site)
        await daemon.start()
        await stopped
        return EXIT_OK if await daemon.drain() else EXIT_FAILURE

    return daemons.run_until_done(run)


@app.command
def demo(
    *,
    site: _SiteName = "fellesvarsel",
    seed: int = 1,
    json_output: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
    verbose: bool = False,
) -> int:
    """Run a complete site in this process under a short workload.

    Args:
        site: The site whose request mix is used.
        seed: The random seed of the workload.
        json_output: Print the figures as one JSON object.
        verbose: Log at level info instead of error.
    """
    from sassafrasstile import demo as demos

    telemetry.configure_logs(level="info" if verbose else "error", style="text")
    reports = []

    async def run(reactor):
        report = await demos.run_demo(
            reactor,
            site=site,
            seed=seed,
            show=lambda line: print(line, file=sys.stderr),
        )
        reports.append(report)
        return EXIT_OK if report.has_passed() else EXIT_FAILURE

    code = daemons.run_until_done(run)
    if reports and json_output:
        print(json.dumps(reports[0].summarize()))
    elif reports:
        print(reports[0].render())
    return code


@app.command
def soak(
    *,
    site: _SiteName = "fellesvarsel",
    seed: int = 1,
    minutes: float = 10.0,
    faults: str = "all",
    load: float = 1.0,
    json_output: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> int:
    """Run the production kernels with random faults and a virtual clock.

    Args:
        site: The site whose topology and request mix are used.
        seed: The random seed; equal seeds give equal runs.
        minutes: The duration in virtual minutes.
        faults: `all`, `none`, or comma-separated names.
        load: A factor for the arrival rates of requests.
        json_output: Print the figures as one JSON object.
    """
    from sassafrasstile import soak as soaks

    telemetry.configure_logs(level="error", style="text")
    names = _parse_names(
        faults,
        soaks.FAULT_NAMES,
        flag="--faults",
        more=soaks.DIRECTED_FAULT_NAMES,
    )
    report, _ = soaks.run_soak(
        site=site, seed=seed, minutes=minutes, faults=names, load=load
    )
    figures = report.summarize()
    if json_output:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:24} {value}")
    if not report.violations:
        return EXIT_OK
    _, lines = soaks.run_soak(
        site=site,
        seed=seed,
        minutes=minutes,
        faults=names,
        load=load,
        trace=True,
    )
    print("\n".join(lines), file=sys.stderr)
    return EXIT_FAILURE


@app.command
def measure(
    *,
    site: _SiteName = "fellesvarsel",
    policy: str = "all",
    seeds: str = "1:3",
    load: str = "0.6,0.9,1.1,1.3",
    minutes: float = 2.0,
    faults: str = "none",
    json_output: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> int:
    """Measure routing policies on equal arrivals with a virtual clock.

    Args:
        site: The site whose topology and request mix are used.
        policy: `all`, or comma-separated names.
        seeds: The first and last seed, for example `1:20`.
        load: Arrival rates as fractions of capacity, comma-separated.
        minutes: The duration of a run in virtual minutes.
        faults: `all`, `none`, or comma-separated names.
        json_output: Print one JSON object per row.
    """
    from sassafrasstile import measure as measures
    from sassafrasstile import soak as soaks

    telemetry.configure_logs(level="error", style="text")
    known = plugins.list_names(plugins.Kind.POLICY)
    plan = measures.Plan(
        site=site,
        policies=_parse_names(policy, tuple(known), flag="--policy"),
        seeds=_parse_seeds(seeds),
        loads=_parse_loads(load),
        minutes=minutes,
        faults=_parse_names(faults, soaks.FAULT_NAMES, flag="--faults"),
    )
    code = EXIT_OK
    for row in measures.measure(plan):
        if row.violations:
            code = EXIT_FAILURE
        figures = dataclasses.asdict(row)
        if json_output:
            print(json.dumps(figures), flush=True)
            continue
        line = "  ".join(f"{name} {value}" for name, value in figures.items())
        print(line, flush=True)
    return code


@app.command
def simulate(
    *,
    site: str = "fellesvarsel",
    policy: str = "all",
    pattern: str = "steady",
    seeds: str = "1:3",
    load: str = "0.9,1.1,1.3",
    seconds: float = 25.0,
    plot: str = "",
    json_output: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> int:
    """Compare placement policies for generations on simulated engines.

    Args:
        site: The name of a site in `simulation.SITES`.
        policy: `all`, or comma-separated names.
        pattern: The name of a scenario in `simulation.PATTERNS`.
        seeds: The first and last seed, for example `1:20`.
        load: Arrival rates as fractions of capacity, comma-separated.
        seconds: The duration of the arrivals in virtual seconds.
        plot: The file to write a plot to; needs the extra `plot`.
        json_output: Print one JSON object per row.
    """
    from sassafrasstile import simulation

    telemetry.configure_logs(level="error", style="text")
    _parse_names(site, tuple(simulation.SITES), flag="--site")
    _parse_names(pattern, tuple(simulation.PATTERNS), flag="--pattern")
    rows = []
    for rate in _parse_loads(load):
        for name in _parse_names(policy, simulation.POLICIES, flag="--policy"):
            plan = simulation.Plan(
                site=site,
                policy=name,
                pattern=simulation.PATTERNS[pattern],
                load=rate,
                seconds=seconds,
            )
            summary = simulation.simulate_seeds(plan, _parse_seeds(seeds))
            rows.append((name, rate, summary.mean))
            figures = {
                "policy": name,
                "load": rate,
                **dataclasses.asdict(summary.mean),
                "spread": summary.spread,
            }
            if json_output:
                print(json.dumps(figures), flush=True)
                continue
            print(
                "  ".join(f"{key} {value}" for key, value in figures.items()),
                flush=True,
            )
    if plot:
        simulation.plot_figures(rows, path=plot)
    return EXIT_OK


def _parse_seeds(text: str) -> tuple[int, ...]:
    first, _, last = text.partition(":")
    try:
        return tuple(range(int(first), int(last or first) + 1))
    except ValueError as error:
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=f"--seeds is {text!r}; expected numbers such as 1:20",
        ) from error


def _parse_loads(text: str) -> tuple[float, ...]:
    try:
        loads = tuple(float(part) for part in text.split(","))
    except ValueError as error:
        raise errors.Error(
            code=errors.Code.BAD_VALUE,
            detail=f"--load is {text!r}; expected numbers such as 0.9,1.1",
        ) from error
    return tuple(
        validation.check_positive(value, label="--load") for value in loads
    )


def _parse_names(
    text: str,
    allowed: tuple[str, ...],
    *,
    flag: str,
    more: tuple[str, ...] = (),
) -> tuple[str, ...]:
    """Returns the names in an argument.

    Args:
        text: The argument: `all`, `none` or comma-separated names.
        allowed: The names that `all` stands for.
        flag: The argument's name, for errors.
        more: Other names that are allowed too.
    """
    match text:
        case "all":
            return allowed
        case "none":
            return ()
    names = tuple(text.split(","))
    for name in names:
        if name not in allowed + more:
            raise errors.Error(
                code=errors.Code.BAD_VALUE,
                detail=(
                    f"{flag} has {name!r}; allowed are all, none and "
                    f"{list(allowed + more)}"
                ),
            )
    return names


@config_app.command
def check(*, config: _Config, overlay: _Overlay = None) -> int:
    """Check a base configuration and its overlays."""
    settings.load_site([config, *(overlay or [])])
    print("valid")
    return EXIT_OK


@config_app.command
def show(*, config: _Config, overlay: _Overlay = None) -> int:
    """Show the merged settings and the origin of each value."""
    files = [config, *(overlay or [])]
    tree = settings.merge_files(files)
    site = settings.check_tree(tree.values, tree.origins)
    print("\n".join(settings.render_tree(site, tree)))
    return EXIT_OK


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line and exits the process.

    Args:
        arguments: The arguments, or None for those of the process.
    """
    try:
        code = app(arguments, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        sys.exit(EXIT_USAGE)
    except errors.Error as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(code or EXIT_OK)
