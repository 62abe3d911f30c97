"""Percentiles of small samples."""

import statistics

_HUNDREDTHS = 100


def compute_percentile(values: list[float], percent: int) -> float:
    """Returns a percentile, or zero without values.

    >>> compute_percentile([1.0, 2.0, 3.0], 50)
    2.0
    """
    if len(values) < 2:
        return values[0] if values else 0.0
    cuts = statistics.quantiles(values, n=_HUNDREDTHS, method="inclusive")
    return cuts[percent - 1]
