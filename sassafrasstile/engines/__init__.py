"""Adapters to model engines."""

from sassafrasstile.engines._base import Engine, EngineListener
from sassafrasstile.engines._openai import OpenAIEngine

__all__ = ["Engine", "EngineListener", "OpenAIEngine"]
