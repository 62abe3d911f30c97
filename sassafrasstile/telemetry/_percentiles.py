"""Percentiles of small samples."""

import statistics

_QUANTILE_COUNT = 100


def compute_percentile(values: list[float], percent: int) -> float:
    """Returns a percentile of some values, or zero if there are none.

    >>> compute_percentile([1.0, 2.0, 3.0], 50)
    2.0
    """
    if len(values) < 2:
        return values[0] if values else 0.0
    cut_points = statistics.quantiles(
        values, n=_QUANTILE_COUNT, method="inclusive"
    )
    return cut_points[percent - 1]
