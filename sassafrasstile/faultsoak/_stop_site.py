"""The configuration and the kinds of requests of the soak of stops."""

from sassafrasstile import testing
from sassafrasstile.faultsoak import _stop_endpoints
from sassafrasstile.faultsoak import _stop_records

_DESK = "desk"
_WRITER = "writer"
_STREAM_LIMIT_S = 14.0
_CALL_LIMIT_S = 1.5
_MS_PER_S = 1000
_HOLD_MS = 1000

LETTER = _stop_records.Kind(
    name="letter", is_stream=True, may_repeat=False, limit_s=_STREAM_LIMIT_S
)
NOTE = _stop_records.Kind(
    name="note", is_stream=True, may_repeat=True, limit_s=_STREAM_LIMIT_S
)
CALL = _stop_records.Kind(
    name="call", is_stream=False, may_repeat=False, limit_s=_CALL_LIMIT_S
)
LOOK = _stop_records.Kind(
    name="look", is_stream=False, may_repeat=True, limit_s=_CALL_LIMIT_S
)
# Large answers, which some callers read slowly.
DOSSIER = _stop_records.Kind(
    name="dossier", is_stream=False, may_repeat=False, limit_s=_STREAM_LIMIT_S
)
KINDS = (LETTER, NOTE, CALL, LOOK, DOSSIER)


def make_configuration(version: int, *, has_holds: bool) -> dict:
    """Returns a configuration, each version of which adds a route.

    Args:
        version: Its version.
        has_holds: Whether engines set slots aside.
    """
    document = testing.make_configuration_document(
        version=version,
        routes=[
            *map(_make_route, KINDS),
            testing.make_platform_route(f"/v{version}/", _DESK, "safe"),
        ],
        maxHeaderBytes=16384,
        maxBodyBytes=4194304,
        headerTimeoutMs=3000,
        idleTimeoutMs=15000,
    )
    engine = {
        "slots": _stop_endpoints.SLOTS,
        "kvCapacityTokens": 51867,
        "stride": _stop_endpoints.TOKENS_PER_EVENT,
        "kvTtlS": _stop_endpoints.HANDLE_TTL_S,
        "kvBytes": 18432,
        "linkMbps": 10000.0,
        "stageSwitchS": 6.0,
    }
    if has_holds:
        engine["holdMs"] = _HOLD_MS
    document["services"] = [
        {"name": _DESK, "healthPath": "/healthz", "maxConnections": 110},
        {
            "name": _WRITER,
            "healthPath": "/healthz",
            "maxConnections": 370,
            "engine": engine,
        },
    ]
    return document


def make_endpoint(endpoint: _stop_endpoints.BusyEndpoint) -> dict:
    """Returns the membership document of an endpoint."""
    is_plain = endpoint.stage == "plain"
    return testing.make_endpoint_document(
        port=endpoint.port,
        service=_DESK if is_plain else _WRITER,
        slots=_stop_endpoints.SLOTS,
        stage=None if is_plain else endpoint.stage,
    )


def _make_route(kind: _stop_records.Kind) -> dict:
    changes = {
        "timeoutMs": int(kind.limit_s * _MS_PER_S),
        "maxAttempts": 2 if kind.may_repeat else 1,
    }
    if kind.is_stream:
        changes |= {"sticky": True, "targetGapMs": 300}
        if kind.may_repeat:
            changes["resumable"] = True
        return testing.make_platform_route(
            f"/{kind.name}/", _WRITER, "streaming", **changes
        )
    return testing.make_platform_route(
        f"/{kind.name}/",
        _DESK,
        "safe" if kind.may_repeat else "unsafe",
        **changes,
    )
