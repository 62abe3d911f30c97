"""Command line of the soak: `python -m sassafrasstile.faultsoak`."""

import dataclasses
import json
import pathlib
import sys

import cyclopts

from sassafrasstile import faultsoak
from sassafrasstile import testing

app = cyclopts.App(
    name="faultsoak", help="Soak real gateway processes under faults."
)


def _make_folder(
    logs: pathlib.Path | None, *, seed: int
) -> pathlib.Path | None:
    """Returns the folder for the logs of a seed, or None."""
    if logs is None:
        return None
    folder = logs / f"seed{seed}"
    folder.mkdir(exist_ok=True)
    return folder


@app.default
def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 30.0,
    faults: bool = True,
    endless: bool = False,
    keys: bool = False,
    stops: bool = False,
    logs: pathlib.Path | None = None,
) -> int:
    """Run one seed after another; exit 1 when a guarantee was violated.

    Args:
        seed: The first seed.
        seeds: The number of seeds.
        seconds: How long callers send requests, per seed.
        faults: Inject faults; `make demo-platform` uses `--no-faults`.
        endless: Let answers of endpoints have no end.
        keys: Give the site workspaces, and withdraw keys.
        stops: Stop gateways under load, and inject no faults.
        logs: An existing folder that keeps the gateways' logs.
    """
    failed_seeds = 0
    for run_seed in range(seed, seed + seeds):
        folder = _make_folder(logs, seed=run_seed)
        run = (
            faultsoak.StopRun(
                reactor=testing.reactor,
                seed=run_seed,
                seconds=seconds,
                logs=folder,
            )
            if stops
            else faultsoak.SoakRun(
                reactor=testing.reactor,
                seed=run_seed,
                seconds=seconds,
                faults=faults,
                notices=faults,
                silences=faults,
                endless=endless,
                crashes=faults,
                rates=faults,
                keys=keys,
                cuts=keys and faults,
                logs=folder,
            )
        )
        report = testing.run(run.run)
        failed_seeds += bool(report.violations)
        print(json.dumps(dataclasses.asdict(report)), flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app())
