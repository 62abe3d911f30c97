"""The state of one request of a caller."""

import dataclasses
import enum
import functools

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import routes
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _base

# Number of ranks of routes within each priority.
_ROUTE_RANKS = 10


class Phase(enum.Enum):
    """How far a request has got."""

    WAITING = "waiting"
    PREFILLING = "prefilling"
    SENT = "sent"
    STREAMING = "streaming"


@dataclasses.dataclass(kw_only=True, eq=False)
class RequestTask:
    """A request, its route and its progress.

    Attributes:
        request: The caller's request.
        details: Its decoded headers.
        route: Its route.
        service: The service chosen among those of the route.
        size: The number of prompt and output tokens of a generation.
        exchange: The connection to the caller, to answer on.
        deadline: The time by which it must be answered, in seconds.
        caller_deadline: When the caller gives up, in seconds, as far as it has
            said so. Each attempt at a request has the same.
        arrived_at: When the caller's first attempt arrived at any gateway, in
            seconds; its targets count from then.
        granted_at: When it last got its engines, in seconds.
        prefill_work: Prompt tokens of its prefill engine's queue when its own
            prompt was added.
        access: What it runs as.
        denial: Why it may not be sent for its key, or None if it may.
        charge: What it was charged to its workspace's quota, or None.
        sends: How often it was sent to an endpoint to be run.
        hold_attempts: How often an engine was asked to set memory aside.
        prefill_attempts: How often it was sent to a prefill engine.
        tried: Endpoints that it was sent to.
        may_have_run: Endpoints that may have run it, one entry per send.
        software_version: The version of the engine that began its stream, the
            only one at which the stream may go on, or None while any may
            begin it.
        may_go_on: False once its caller has an event that no id places, so
            that no other run can go on after it.
        first_token_s: Seconds from its arrival to the first event sent to
            the caller.
        longest_gap_s: The longest time between two events sent to the
            caller, in seconds.
        is_denied_by_stop: True once it was found that it can't be answered
            before this process ends.
        outcome: The outcome in logs and metrics, set at the end.
    """

    request: web.CallerRequest
    details: _base.RequestDetails
    route: routes.Route
    service: routes.Service
    size: dispatch.WorkSize
    exchange: web.IngressRequest
    deadline: float
    caller_deadline: float
    arrived_at: float
    granted_at: float = 0.0
    prefill_work: float = 0.0
    access: workspaces.Access = workspaces.ANONYMOUS
    denial: verdicts.NotRun | None = None
    charge: permits.QuotaCharge | None = None
    sends: int = 0
    prefill_attempts: int = 0
    hold_attempts: int = 0
    tried: list[dispatch.Endpoint] = dataclasses.field(default_factory=list)
    may_have_run: list[dispatch.Endpoint] = dataclasses.field(
        default_factory=list
    )
    software_version: str | None = None
    may_go_on: bool = True
    first_token_s: float | None = None
    longest_gap_s: float = 0.0
    is_denied_by_stop: bool = False
    outcome: str = ""

    @property
    def request_id(self) -> str:
        """The caller's id for this attempt."""
        return self.details.request_id

    @property
    def phase(self) -> Phase:
        """How far it has got."""
        if self.exchange.has_begun:
            return Phase.STREAMING
        if self.may_have_run:
            return Phase.SENT
        return Phase.PREFILLING if self.prefill_attempts else Phase.WAITING

    @property
    def workspace_name(self) -> str:
        """The name of its workspace, or an empty string for none."""
        return self.access.workspace_name

    @property
    def prompt_id(self) -> str:
        """Identifies a generation's prompt among those of its workspace."""
        return self.access.qualify(self.details.prompt_id)

    @property
    def priority(self) -> int:
        """Its priority: that of its workspace, else that of its route."""
        workspace = self.access.workspace
        if workspace is None or workspace.priority is None:
            return self.route.priority
        return workspace.priority

    @property
    def rank(self) -> int:
        """Its rank for scarce capacity: its priority, then its route's."""
        return _ROUTE_RANKS * self.priority + self._route_rank

    @property
    def rank_name(self) -> str:
        """Its rank in logs and metrics, such as `1.0`."""
        return f"{self.priority}.{self._route_rank}"

    @property
    def _route_rank(self) -> int:
        return min(max(self.route.priority, 0), _ROUTE_RANKS - 1)

    @functools.cached_property
    def content(self) -> quarantine.Content:
        """What identifies its content among the requests to its service."""
        service = self.service.name
        if self.route.kind is routes.RouteKind.GENERATION:
            return quarantine.make_prompt(
                service,
                self.details.prompt_parts,
                owner=self.workspace_name,
            )
        caller = self.details.caller
        if self.access.hides_credentials:
            caller = self.workspace_name
        return quarantine.make_call(
            service,
            method=self.request.method,
            host=self.details.host,
            target=self.request.target,
            caller=caller,
            body=self.request.body,
        )

    def record_send(self, endpoint: dispatch.Endpoint) -> None:
        """Records that it is about to be sent to an endpoint."""
        self.sends += 1
        self.tried.append(endpoint)
        self.may_have_run.append(endpoint)

    def record_not_run(self, endpoint: dispatch.Endpoint) -> None:
        """Records that an endpoint is proved not to have run the last send."""
        self.may_have_run.remove(endpoint)

    def record_denial(self, endpoint: dispatch.Endpoint) -> None:
        """Records that the last send wasn't permitted: nothing was sent."""
        self.sends -= 1
        self.tried.remove(endpoint)
        self.may_have_run.remove(endpoint)

    def count_run_endpoints(self) -> int:
        """Returns the number of distinct endpoints that may have run it."""
        return len(set(map(id, self.may_have_run)))

    def decide_verdict(
        self, code: errors.Code, *, retry_after_s: float = 0.0
    ) -> verdicts.Verdict:
        """Returns the verdict that follows from all sends together.

        Args:
            code: The reason why there is no answer.
            retry_after_s: Seconds after which the caller should retry, if
                nothing ran.
        """
        if self.may_have_run:
            return verdicts.MayHaveRun(code=code)
        if self.denial is not None:
            return self.denial
        return verdicts.NotRun(code=code, retry_after_s=retry_after_s)
