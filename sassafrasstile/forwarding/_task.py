"""One request of a caller on its way."""

import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import routes
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _base


@dataclasses.dataclass(kw_only=True, eq=False)
class RequestTask:
    """A request, its route and what has become of it so far.

    Attributes:
        request: The caller's request.
        details: What its headers say.
        route: Its route.
        service: The service chosen among the route's.
        size: How much a generation asks of an engine.
        exchange: The way to answer.
        deadline: When it must be answered, in seconds.
        sends: How often it was sent to an endpoint that might run it.
        prefill_attempts: How often a prefill engine was asked to prefill it.
        tried: Endpoints that it was sent to.
        may_have_run: Endpoints that may have run it.
        first_token_s: Seconds from its arrival to the first event sent.
        longest_gap_s: The longest pause between two events sent.
        outcome: The word for logs and metrics, set at the end.
    """

    request: web.CallerRequest
    details: _base.RequestDetails
    route: routes.Route
    service: routes.Service
    size: dispatch.WorkSize
    exchange: web.IngressRequest
    deadline: float
    sends: int = 0
    prefill_attempts: int = 0
    tried: list[dispatch.Endpoint] = dataclasses.field(default_factory=list)
    may_have_run: list[dispatch.Endpoint] = dataclasses.field(
        default_factory=list
    )
    first_token_s: float | None = None
    longest_gap_s: float = 0.0
    outcome: str = ""

    @property
    def request_id(self) -> str:
        """The id of this attempt of the caller."""
        return self.details.request_id

    def record_send(self, endpoint: dispatch.Endpoint) -> None:
        """Notes that it is about to be sent to an endpoint."""
        self.sends += 1
        self.tried.append(endpoint)
        self.may_have_run.append(endpoint)

    def record_not_run(self, endpoint: dispatch.Endpoint) -> None:
        """Notes the proof that the last send has not run it."""
        self.may_have_run.remove(endpoint)

    def count_run_endpoints(self) -> int:
        """Returns how many different endpoints may have run it."""
        return len(set(map(id, self.may_have_run)))

    def decide_verdict(
        self, code: errors.Code, *, retry_after_s: float = 0.0
    ) -> verdicts.Verdict:
        """Returns what all sends together prove.

        Args:
            code: Why there is no answer.
            retry_after_s: When the caller should come back, if nothing ran.
        """
        if self.may_have_run:
            return verdicts.MayHaveRun(code=code)
        return verdicts.NotRun(code=code, retry_after_s=retry_after_s)
