"""Measures policies: goodput and wasted prefill at several loads."""

from sassafrasstile.measure._run import (
    Measurement,
    Plan,
    find_capacity,
    measure,
)
from sassafrasstile.measure._shapes import SHAPES

__all__ = ["SHAPES", "Measurement", "Plan", "find_capacity", "measure"]
