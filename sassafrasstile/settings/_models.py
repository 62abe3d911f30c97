"""The settings of a site: data classes that pydantic validates."""

import dataclasses
import ipaddress
from typing import Annotated, Literal

import annotated_types
import pydantic

from sassafrasstile import gateway
from sassafrasstile import sidecar

_FORBID_EXTRA = {"extra": "forbid"}

Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
]
Seconds = Annotated[float, annotated_types.Gt(0), annotated_types.Le(86_400)]
Count = Annotated[int, annotated_types.Gt(0), annotated_types.Le(1 << 30)]
Url = Annotated[
    str, pydantic.StringConstraints(pattern=r"^https?://[0-9\[][^/\s]*$")
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port.

    Attributes:
        host: The IP address.
        port: The port, or zero to let the operating system choose one.
    """

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parses `IP:PORT`.

    Args:
        text: The text to parse.

    Returns:
        The address.

    Raises:
        ValueError: The text isn't an IP address and a port.

    >>> parse_address("127.0.0.1:8080").port
    8080
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 <= number <= 65_535:
        raise ValueError(f"port {number} is not one of 0 to 65535")
    return Address(host=host.strip("[]"), port=number)


def _check_address(text: str) -> str:
    parse_address(text)
    return text


AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Targets:
    """Latency targets that a request must meet to count as goodput.

    Attributes:
        first_token_s: Maximum seconds to the first token.
        per_token_s: Maximum mean seconds per token after the first token.
    """

    __pydantic_config__ = _FORBID_EXTRA

    first_token_s: Seconds = 0.74
    per_token_s: Seconds = 0.03


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteSettings:
    """The name and the latency targets of a site.

    Attributes:
        name: The site's name.
        targets: The site's latency targets.
    """

    __pydantic_config__ = _FORBID_EXTRA

    name: Name
    targets: Targets = dataclasses.field(default_factory=Targets)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoggingSettings:
    """How a process logs.

    Attributes:
        level: The lowest level written.
        format: `text`, or `json` for one JSON object per line.
    """

    __pydantic_config__ = _FORBID_EXTRA

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    """The platform's append-only log.

    Attributes:
        adapter: The registered name of the log client.
        url: The log's base URL, or an empty string for none.
    """

    __pydantic_config__ = _FORBID_EXTRA

    adapter: Name = "http"
    url: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LivenessSettings:
    """The platform's list of live and leaving VMs.

    Attributes:
        adapter: The registered name of the client that reads the list.
        url: The list's base URL, or an empty string for none.
        poll_s: Seconds between polls.
    """

    __pydantic_config__ = _FORBID_EXTRA

    adapter: Name = "http"
    url: str = ""
    poll_s: Seconds = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """Limits of a caller's request.

    Attributes:
        body_bytes: Maximum size of a body in bytes.
        read_s: Timeout in seconds for reading the complete request.
    """

    __pydantic_config__ = _FORBID_EXTRA

    body_bytes: Count = 1 << 20
    read_s: Seconds = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopSettings:
    """Graceful shutdown of a process on SIGTERM.

    Attributes:
        notice_s: Seconds for which a gateway still accepts requests after it
            has become unready, so that its load balancer can react.
        grace_s: Seconds after which requests still in flight are aborted; a
            gateway counts them from the end of `notice_s`.
    """

    __pydantic_config__ = _FORBID_EXTRA

    notice_s: Annotated[float, annotated_types.Ge(0)] = 2.0
    grace_s: Seconds = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceSettings:
    """The priority and the API key of a workspace.

    Attributes:
        deferred: True when the workspace's generation requests can wait.
        key_file: A file that contains the workspace's key.
        key_env: An environment variable that contains the workspace's key. A
            workspace with neither is identified by the header X-Workspace
            alone.
    """

    __pydantic_config__ = _FORBID_EXTRA

    deferred: bool = False
    key_file: str = ""
    key_env: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelSettings:
    """Token limits of a model that callers may request.

    Attributes:
        max_tokens: Maximum number of output tokens.
        default_tokens: Maximum number of output tokens when the caller sets
            none.
        max_prompt_tokens: Maximum number of prompt tokens.
    """

    __pydantic_config__ = _FORBID_EXTRA

    max_tokens: Count = 4096
    default_tokens: Count = 256
    max_prompt_tokens: Count = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rule:
    """How calls of a service that match a method and a path are handled.

    Attributes:
        method: The HTTP method, or `*` for any.
        path: The prefix of the path below the service.
        repeatable: True if the calls are idempotent, so that a call may run
            more than once.
        limit_s: Timeout of a call in seconds.
        during_outage: What happens to a non-idempotent call while the log is
            unavailable: `refuse`, or `run` at the owner of its key without a
            claim. If that owner then crashes, a retry of the key may be
            answered with `may_have_run`, where a claim would have given the
            definite outcome.
    """

    __pydantic_config__ = _FORBID_EXTRA

    method: Literal["*", "GET", "POST", "PUT", "PATCH", "DELETE"] = "*"
    path: Annotated[str, pydantic.StringConstraints(pattern=r"^/")] = "/"
    repeatable: bool = False
    limit_s: Seconds = 10.0
    during_outage: Literal["refuse", "run"] = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSettings:
    """A plain service.

    Attributes:
        rules: The rules of its calls; the first rule that matches a call
            applies. A call without a matching rule may be repeated only if
            its method is GET, HEAD or OPTIONS.
        claims: How non-idempotent calls are claimed in the log.
    """

    __pydantic_config__ = _FORBID_EXTRA

    rules: tuple[Rule, ...] = ()
    claims: sidecar.ClaimSettings = dataclasses.field(
        default_factory=sidecar.ClaimSettings
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayProcess:
    """A gateway process.

    Attributes:
        http: The address on which it listens for callers.
        admin: The address of its admin port: health, readiness, metrics.
        zone: Its availability zone.
    """

    __pydantic_config__ = _FORBID_EXTRA

    http: AddressText
    admin: AddressText
    zone: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSettings:
    """An endpoint and its sidecar.

    Attributes:
        role: `prefill` or `decode` for a model engine, or `service`.
        serves: The name of its model or service.
        sidecar: The address on which its sidecar listens for gateways.
        admin: The address of its sidecar's admin port: health, readiness,
            metrics.
        url: The endpoint's base URL.
        adapter: The registered name of the adapter, or an empty string for
            `openai` with a model engine and `http` with a service.
        zone: Its availability zone.
        vm: The name of its VM.
        limits: Capacity of a model engine.
    """

    __pydantic_config__ = _FORBID_EXTRA

    role: Literal["prefill", "decode", "service"]
    serves: Name
    sidecar: AddressText
    admin: AddressText
    url: Url
    adapter: str = ""
    zone: str = ""
    vm: str = ""
    limits: sidecar.EngineLimits = dataclasses.field(
        default_factory=sidecar.EngineLimits
    )


def _empty_dict():
    return dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """All settings of a site.

    Attributes:
        site: Name and latency targets of the site.
        logging: How processes log.
        log: The platform's append-only log.
        liveness: The platform's list of live and leaving VMs.
        routing: How gateways route requests.
        leases: Lease times of sidecars.
        requests: Limits of callers' requests.
        stop: Graceful shutdown of processes.
        workspaces: Workspaces by name.
        models: Models by name.
        services: Plain services by name.
        gateways: Gateway processes by name.
        endpoints: Endpoints by name.
    """

    __pydantic_config__ = _FORBID_EXTRA

    site: SiteSettings
    logging: LoggingSettings = dataclasses.field(
        default_factory=LoggingSettings
    )
    log: LogSettings = dataclasses.field(default_factory=LogSettings)
    liveness: LivenessSettings = dataclasses.field(
        default_factory=LivenessSettings
    )
    routing: gateway.GatewaySettings = dataclasses.field(
        default_factory=gateway.GatewaySettings
    )
    leases: sidecar.LeaseSettings = dataclasses.field(
        default_factory=sidecar.LeaseSettings
    )
    requests: RequestLimits = dataclasses.field(default_factory=RequestLimits)
    stop: StopSettings = dataclasses.field(default_factory=StopSettings)
    workspaces: dict[Name, WorkspaceSettings] = _empty_dict()
    models: dict[Name, ModelSettings] = _empty_dict()
    services: dict[Name, ServiceSettings] = _empty_dict()
    gateways: dict[Name, GatewayProcess] = _empty_dict()
    endpoints: dict[Name, EndpointSettings] = _empty_dict()
