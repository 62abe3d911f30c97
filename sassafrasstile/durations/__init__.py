"""How long requests take, learned from recent ones."""

from sassafrasstile.durations._estimate import Duration, DurationEstimate

__all__ = ["Duration", "DurationEstimate"]
