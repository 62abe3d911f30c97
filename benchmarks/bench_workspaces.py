"""Measures what the keys of workspaces cost a gateway.

Run: python benchmarks/bench_workspaces.py [FOLDER]

Prints the microseconds a request, as the minimum of five rounds, with 6,000
workspaces of 3 keys each. With the folder of an older checkout, the way of a
call from its headers to those for the endpoint is measured there in turn with
that here, and the ratio is printed.
"""

import os
import pathlib
import random
import subprocess
import sys
import time

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import web
from sassafrasstile.platform import _codec

_WORKSPACES = 6000
_KEYS = 3
_REQUESTS = 2000
_ROUNDS = 5
_US_PER_S = 1e6
_PLAIN = "--plain"


def make_keys() -> list[str]:
    """Returns the keys of all workspaces."""
    generator = random.Random(1)
    return [
        f"{generator.getrandbits(128):032x}" for _ in range(_WORKSPACES * _KEYS)
    ]


def make_requests(keys) -> list[web.CallerRequest]:
    """Returns requests that show keys."""
    return [
        web.CallerRequest(
            method=b"POST",
            target=b"/desk/2f",
            headers=(
                (b"Host", b"a.example"),
                (b"X-Attempt-Id", b"9c41d07be2a35f68"),
                (b"X-Deadline-Ms", b"1500"),
                (b"Authorization", b"Token " + key.encode()),
            ),
            body=b"",
            received_at=0.0,
        )
        for key in random.Random(2).sample(keys, _REQUESTS)
    ]


def make_record() -> membership.EndpointRecord:
    """Returns the endpoint's record."""
    return membership.EndpointRecord(
        endpoint_id="i-1",
        started_ms=1,
        service="desk",
        host="127.0.0.1",
        port=1,
        zone="a",
        role=membership.Role.PLAIN,
        state=membership.EndpointState.READY,
        slots=8,
    )


def measure_us(handle, requests) -> float:
    """Returns the microseconds in which a request is handled."""
    durations = []
    for _ in range(_ROUNDS):
        began = time.perf_counter()
        for request in requests:
            handle(request)
        durations.append(time.perf_counter() - began)
    return min(durations) / len(requests) * _US_PER_S


def measure_way_us(requests, checker=None) -> float:
    """Returns the time from a call's headers to those for the endpoint."""
    codec = _codec.PlatformCodec()
    record = make_record()
    table = routes.RouteTable(
        routes=[
            routes.Route(
                name="desk",
                host="a.example",
                prefix="/desk/",
                kind=routes.RouteKind.NON_IDEMPOTENT_CALL,
                services=(routes.WeightedService(service="desk"),),
                timeout_s=1.5,
                target_s=0.4,
            )
        ]
    )

    def handle(request):
        details = codec.decode_request(request)
        route = table.find(host=details.host, target="/desk/2f")
        fields = {}
        if checker is not None:
            access = checker.identify(details.key, is_open=route.is_open)
            fields["access"] = access
        codec.encode_run(
            request, record=record, remaining_s=1.0, priority=1, **fields
        )
        if checker is not None:
            checker.find_denial(access)

    return measure_us(handle, requests)


def make_checker(keys):
    """Returns a checker that knows all workspaces, and the time to make it."""
    from sassafrasstile import workspaces

    groups = [keys[at : at + _KEYS] for at in range(0, len(keys), _KEYS)]
    known = [
        workspaces.Workspace(name=f"w{number}", keys=frozenset(group))
        for number, group in enumerate(groups)
    ]
    began = time.perf_counter()
    directory = workspaces.WorkspaceDirectory(workspaces=known)
    taken_s = time.perf_counter() - began
    checker = workspaces.AccessChecker(
        read_directory=lambda: directory,
        measure_age_s=lambda: 0.5,
        max_age_s=5.0,
        fresh_age_s=2.0,
    )
    return checker, taken_s


def measure_older_us(folder: str) -> float:
    """Returns the time of a call's way with an older checkout."""
    environment = {**os.environ, "PYTHONPATH": str(pathlib.Path(folder))}
    result = subprocess.run(
        [sys.executable, __file__, _PLAIN],
        env=environment,
        cwd=folder,
        check=True,
        capture_output=True,
        text=True,
    )
    return float(result.stdout)


def main(arguments: list[str]) -> None:
    """Prints the figures."""
    keys = make_keys()
    requests = make_requests(keys)
    if arguments == [_PLAIN]:
        print(measure_way_us(requests))
        return
    checker, made_s = make_checker(keys)
    print(f"directory of {len(keys)} keys: {made_s * 1000:.1f} ms")

    def check(request):
        key = request.headers[-1][1][6:].decode()
        checker.find_denial(checker.identify(key, is_open=False))

    print(f"identify and find_denial: {measure_us(check, requests):.2f} us")
    plain_us = measure_way_us(requests)
    keyed_us = measure_way_us(requests, checker)
    print(f"way of a call without workspaces: {plain_us:.1f} us")
    print(f"way of a call with a key: {keyed_us:.1f} us")
    for folder in arguments:
        older_us = measure_older_us(folder)
        print(f"way of a call, {folder}: {older_us:.1f} us")
        print(f"ratio without workspaces: {plain_us / older_us:.2f}")
        print(f"ratio with a key: {keyed_us / older_us:.2f}")


if __name__ == "__main__":
    main(sys.argv[1:])
