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
    """An IP number and a port.

    Attributes:
        host: The IP number.
        port: The port; zero lets the kernel pick one.
    """

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parses `IP:PORT`.

    Args:
        text: The address.

    Returns:
        The address.

    Raises:
        ValueError: When it isn't an IP number and a port.

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
    """What a request must meet to count as goodput.

    Attributes:
        first_token_s: Seconds to the first token.
        per_token_s: Seconds a token after it, on average.
    """

    __pydantic_config__ = _FORBID_EXTRA

    first_token_s: Seconds = 0.74
    per_token_s: Seconds = 0.03


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteSettings:
    """The site as a whole.

    Attributes:
        name: Its name.
        targets: Its targets.
    """

    __pydantic_config__ = _FORBID_EXTRA

    name: Name
    targets: Targets = dataclasses.field(default_factory=Targets)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoggingSettings:
    """How a process logs.

    Attributes:
        level: The least severe level shown.
        format: `text`, or `json` for a JSON object a line.
    """

    __pydantic_config__ = _FORBID_EXTRA

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    """The platform's append-only log.

    Attributes:
        adapter: The registered name of the log client.
        url: Its base URL, or an empty string for none.
    """

    __pydantic_config__ = _FORBID_EXTRA

    adapter: Name = "http"
    url: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LivenessSettings:
    """The platform's list of live and leaving VMs.

    Attributes:
        adapter: The registered name of the source.
        url: Its base URL, or an empty string for none.
        poll_s: Seconds between reads.
    """

    __pydantic_config__ = _FORBID_EXTRA

    adapter: Name = "http"
    url: str = ""
    poll_s: Seconds = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """What a caller may send.

    Attributes:
        body_bytes: The largest body.
        read_s: Seconds until the whole request must have arrived.
    """

    __pydantic_config__ = _FORBID_EXTRA

    body_bytes: Count = 1 << 20
    read_s: Seconds = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopSettings:
    """How a process stops on SIGTERM.

    Attributes:
        notice_s: Seconds for which a gateway that already says it isn't
            ready still takes requests, until its balancer has noticed.
        grace_s: Seconds after which what is still in flight is cut off.
    """

    __pydantic_config__ = _FORBID_EXTRA

    notice_s: Annotated[float, annotated_types.Ge(0)] = 2.0
    grace_s: Seconds = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceSettings:
    """A workspace.

    Attributes:
        deferred: True when its generation requests can wait.
        key_file: A file that holds its key.
        key_env: An environment variable that holds its key. A workspace
            with neither is named by the header X-Workspace alone.
    """

    __pydantic_config__ = _FORBID_EXTRA

    deferred: bool = False
    key_file: str = ""
    key_env: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelSettings:
    """A model that callers may ask for.

    Attributes:
        max_tokens: Output tokens at the most.
        default_tokens: Output tokens when the caller names none.
        max_prompt_tokens: Prompt tokens at the most.
    """

    __pydantic_config__ = _FORBID_EXTRA

    max_tokens: Count = 4096
    default_tokens: Count = 256
    max_prompt_tokens: Count = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rule:
    """Which calls of a service may be repeated.

    Attributes:
        method: The HTTP method, or `*`.
        path: The start of the path below the service.
        repeatable: False when running a call twice does harm.
        limit_s: Seconds until the answer must be there.
        during_outage: What happens to a call that may not be repeated while
            the log is down: `refuse`, or `run` at the owner of its key.
            After a crash of that owner, a caller's retry of a key may then
            be answered as may have run, though a claim would have told.
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
        rules: The first rule that matches a call decides. A call that none
            matches may be repeated only when its method is GET.
        claims: How calls that may not be repeated are claimed.
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
        http: Where it listens for callers.
        admin: Where it serves health, readiness and metrics.
        zone: Its availability zone.
    """

    __pydantic_config__ = _FORBID_EXTRA

    http: AddressText
    admin: AddressText
    zone: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSettings:
    """An endpoint and the sidecar beside it.

    Attributes:
        role: What it does.
        serves: The name of its model or service.
        sidecar: Where its sidecar listens for gateways.
        admin: Where its sidecar serves health, readiness and metrics.
        url: The endpoint's base URL.
        adapter: The registered name of the adapter, or an empty string for
            `openai` or `http` by role.
        zone: Its availability zone.
        vm: Its VM.
        limits: What a model engine holds at once.
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


def _empty():
    return dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """All settings of a site.

    Attributes:
        site: The site as a whole.
        logging: How processes log.
        log: The platform's log.
        liveness: The platform's list of VMs.
        routing: How gateways route.
        leases: Lease times of sidecars.
        requests: What a caller may send.
        stop: How processes stop.
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
    workspaces: dict[Name, WorkspaceSettings] = _empty()
    models: dict[Name, ModelSettings] = _empty()
    services: dict[Name, ServiceSettings] = _empty()
    gateways: dict[Name, GatewayProcess] = _empty()
    endpoints: dict[Name, EndpointSettings] = _empty()
