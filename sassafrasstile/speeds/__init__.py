"""How fast each endpoint is, learned from the times of its answers.

This package does no I/O and reads no clock; callers pass the time in.
"""

from sassafrasstile.speeds._base import Kind, Observation
from sassafrasstile.speeds._curve import Curve
from sassafrasstile.speeds._endpoint import EndpointSpeeds
from sassafrasstile.speeds._factor import Factor
from sassafrasstile.speeds._meter import StepMeter
from sassafrasstile.speeds._service import ServiceSpeeds

__all__ = [
    "Curve",
    "EndpointSpeeds",
    "Factor",
    "Kind",
    "Observation",
    "ServiceSpeeds",
    "StepMeter",
]
