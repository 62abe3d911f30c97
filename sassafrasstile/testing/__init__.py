"""Helpers for tests: the reactor, sample records and test sites."""

from sassafrasstile.testing._cut_answers import (
    AMBIGUOUS_ANSWERS,
    ANSWER_BODY,
    DELIMITED_ANSWERS,
    UNFRAMED_HEADS,
)
from sassafrasstile.testing._fixed_server import FixedServer, make_json_answer
from sassafrasstile.testing._messages import make_samples
from sassafrasstile.testing._odd_records import (
    ODD_GATEWAYS,
    ODD_LEASES,
    make_odd_endpoints,
)
from sassafrasstile.testing._platform_case import PlatformTestCase
from sassafrasstile.testing._platform_site import (
    Caller,
    PlatformSite,
    RawAnswer,
    connect,
    make_configuration_document,
    make_endpoint_document,
    make_platform_route,
    make_request,
    make_workspace_document,
)
from sassafrasstile.testing._ports import pick_port
from sassafrasstile.testing._processes import ChildProcess, ProcessSite
from sassafrasstile.testing._reactor import (
    ReactorTestCase,
    fetch_json,
    on_reactor,
    reactor,
    run,
    spawn,
)
from sassafrasstile.testing._records import (
    make_endpoint_record,
    make_route,
)
from sassafrasstile.testing._threads import run_in_thread

__all__ = [
    "AMBIGUOUS_ANSWERS",
    "ANSWER_BODY",
    "DELIMITED_ANSWERS",
    "ODD_GATEWAYS",
    "ODD_LEASES",
    "UNFRAMED_HEADS",
    "Caller",
    "FixedServer",
    "PlatformSite",
    "PlatformTestCase",
    "RawAnswer",
    "ChildProcess",
    "ProcessSite",
    "ReactorTestCase",
    "connect",
    "fetch_json",
    "make_configuration_document",
    "make_endpoint_document",
    "make_endpoint_record",
    "make_json_answer",
    "make_odd_endpoints",
    "make_platform_route",
    "make_request",
    "make_route",
    "make_samples",
    "make_workspace_document",
    "on_reactor",
    "pick_port",
    "reactor",
    "run",
    "spawn",
    "run_in_thread",
]
