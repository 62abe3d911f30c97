"""Measures what remembering crashes costs a gateway.

Run: python benchmarks/bench_quarantine.py
"""

import time

from sassafrasstile import quarantine
from sassafrasstile.quarantine import _base
from sassafrasstile.quarantine import _messages

_CRASHES = 64
_SUSPECTS = 4
_REPEATS = 20


def make_crashes(parts: int) -> list[_base.Crash]:
    """Returns crashes whose prompts share two parts, and have some more."""
    return [
        _base.Crash(
            engine=f"i-{number:010x}/1774139544594",
            age_s=60.0 - 0.5 * number,
            suspects=frozenset(
                quarantine.make_prompt(
                    "service",
                    (
                        "5c1e07a2",
                        "91bd3f06",
                        *(
                            f"{number:04x}{item:02x}{part:02x}"
                            for part in range(parts - 2)
                        ),
                        f"{number:04x}{item:04x}",
                    ),
                )
                for item in range(_SUSPECTS)
            ),
        )
        for number in range(_CRASHES)
    ]


def measure_ms(function) -> float:
    """Returns the mean processor time of a call in milliseconds."""
    began = time.process_time()
    for _ in range(_REPEATS):
        function()
    return (time.process_time() - began) / _REPEATS * 1000


def describe(parts: int) -> str:
    """Returns times and sizes for prompts with a number of parts."""
    crashes = make_crashes(parts)
    log = quarantine.CrashLog()
    for crash in crashes:
        log.add(crash, now=100.0)
    prompt = next(iter(crashes[0].suspects))

    def decide():
        log._suspicions = None
        log.find(prompt, 100.0)

    def look_up():
        log.find(prompt, 100.0)

    first = _messages.make_messages(crashes[:1])
    return (
        f"{parts} parts, {_CRASHES} crashes of {_SUSPECTS} prompts: "
        f"decision {measure_ms(decide):.2f} ms, "
        f"look-up {measure_ms(look_up):.4f} ms, "
        f"one crash {sum(map(len, first))} B, "
        f"all {sum(map(len, _messages.make_messages(crashes)))} B"
    )


def main() -> None:
    """Prints processor times and sizes."""
    for parts in (3, 16):
        print(describe(parts))


if __name__ == "__main__":
    main()
