"""Runs the soak by hand: `python -m sassafrasstile.faultsoak`."""

import dataclasses
import json
import sys

import cyclopts

from sassafrasstile import faultsoak
from sassafrasstile import testing

app = cyclopts.App(
    name="faultsoak", help="Soak real gateway processes under faults."
)


@app.default
def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 30.0,
    faults: bool = True,
) -> int:
    """Run one seed after another; exit 1 when a promise was broken.

    Args:
        seed: The first seed.
        seeds: How many seeds.
        seconds: How long callers send in each.
        faults: `--no-faults` for a calm run, as in `make demo-platform`.
    """
    broken = 0
    for number in range(seed, seed + seeds):
        run = faultsoak.SoakRun(
            reactor=testing.reactor,
            seed=number,
            seconds=seconds,
            faults=faults,
        )
        report = testing.run(run.run)
        broken += bool(report.violations)
        print(json.dumps(dataclasses.asdict(report)), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(app())
