"""Data types of workspaces, and of what a request may run as."""

import dataclasses
import enum
import hashlib

from sassafrasstile import errors

_DIGEST_BYTES = 12


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Quota:
    """What the requests of a workspace may add up to at all gateways.

    Attributes:
        rate_per_s: The amount a second.
        burst: The amount that may be used at once after a quiet time.
        unit: What is counted.
        unstated_cost: What a request without a token count costs, in tokens.

    >>> quota = Quota(
    ...     rate_per_s=10.0,
    ...     burst=0.0,
    ...     unit=QuotaUnit.TOKENS,
    ...     unstated_cost=200.0,
    ... )
    >>> quota.measure_cost(1540), quota.measure_cost(None)
    (1540.0, 200.0)
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    unstated_cost: float = 1.0

    def measure_cost(self, tokens: int | None) -> float:
        """Returns what a request costs.

        Args:
            tokens: The prompt tokens and the most output tokens together, or
                None if the request states no count.
        """
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS:
                return self.unstated_cost if tokens is None else float(tokens)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A workspace of the configuration.

    Attributes:
        name: Its name.
        keys: The keys of its callers. They never reach a log or a metric.
        priority: The priority of its requests, which goes before that of
            their routes, or None if it has none; 0 is the most urgent.
        quota: Its quota, or None without a limit.
    """

    name: str
    keys: frozenset[str] = dataclasses.field(
        default_factory=frozenset, repr=False
    )
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Access:
    """What a request runs as.

    Attributes:
        workspace: The workspace that it belongs to, or None for none.
        key: The key that its caller has shown for that workspace.
        hides_credentials: True if endpoints are told the workspace's name in
            place of what the caller has sent.

    >>> Access().qualify("p1")
    'p1'
    >>> one = Access(workspace=Workspace(name="a"), hides_credentials=True)
    >>> one.qualify("p1") == OUTSIDE.qualify("p1")
    False
    """

    workspace: Workspace | None = None
    key: str = dataclasses.field(default="", repr=False)
    hides_credentials: bool = False

    @property
    def workspace_name(self) -> str:
        """The name of its workspace, or an empty string for none."""
        return self.workspace.name if self.workspace else ""

    def qualify(self, name: str) -> str:
        """Returns the name under which its workspace is remembered to use it.

        Callers choose such names, for example the id of a prompt. What one
        workspace has left under a name isn't found by others. Without
        workspaces, and for an empty name, it is the name itself.
        """
        if not self.hides_credentials or not name:
            return name
        data = f"{self.workspace_name}\0{name}".encode("utf-8", "surrogatepass")
        return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


# What requests run as where the configuration has no workspaces.
ANONYMOUS = Access()
# What requests without a valid key run as at open routes, where the
# configuration has workspaces.
OUTSIDE = Access(hides_credentials=True)


class AccessError(errors.RequestError):
    """A request is refused for its key, or since it shows none.

    Attributes:
        workspace: The name of the workspace that holds the key, or an empty
            string if none does.
    """

    def __init__(
        self,
        *,
        code: errors.Code,
        detail: str,
        status: int,
        workspace: str = "",
    ):
        super().__init__(code=code, detail=detail, status=status)
        self.workspace = workspace
