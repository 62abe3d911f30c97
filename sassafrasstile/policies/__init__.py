"""Policies that choose an endpoint.

>>> import random
>>> from sassafrasstile import plugins
>>> policy = plugins.create(
...     plugins.Kind.POLICY, "two_choices", generator=random.Random(1)
... )
>>> view = EndpointView(name="decode-1", slots=20, free_slots=3)
>>> policy.choose([view], request=WorkRequest(request_id="r1"), now=0.0).name
'decode-1'
"""

from sassafrasstile.policies._base import EndpointView, Policy, WorkRequest
from sassafrasstile.policies._least_loaded import LeastLoaded
from sassafrasstile.policies._random import Random
from sassafrasstile.policies._round_robin import RoundRobin
from sassafrasstile.policies._two_choices import TwoChoices

__all__ = [
    "EndpointView",
    "LeastLoaded",
    "Policy",
    "Random",
    "RoundRobin",
    "TwoChoices",
    "WorkRequest",
]
