"""Measures the goodput and wasted prefill of policies at several loads."""

from sassafrasstile.measure._run import (
    Measurement,
    Plan,
    find_capacity,
    measure,
)
from sassafrasstile.measure._shapes import SHAPES

__all__ = ["SHAPES", "Measurement", "Plan", "find_capacity", "measure"]
