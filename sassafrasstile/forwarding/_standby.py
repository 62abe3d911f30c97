"""Engines that are ready to take a stream over from a silent one.

A silent engine may go on at any time, so a stream leaves it only for an engine
that has already set memory aside for it. Until then it waits.
"""

from collections.abc import Awaitable, Callable
import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import routes
from sassafrasstile.forwarding import _admission
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _holds
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _task
from sassafrasstile.forwarding import _timers

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A caller gives up after the longest of three times without an event: this one,
_MIN_CALLER_WAIT_S = 2.0
# this many targets for the first token,
_CALLER_WAIT_TARGETS = 4.0
# and this many targets for the gap between two tokens.
_CALLER_WAIT_GAPS = 8.0
# Share of that time after which another engine is sought. The other engine
# needs the rest to prefill what the caller has received.
_SEARCH_SHARE = 0.5
# The same where engines set no memory aside: such an engine may refuse, so it
# is tried only when the caller is about to give up.
_UNSECURED_SEARCH_SHARE = 0.8
# Interval of the attempts to find one.
_SEARCH_INTERVAL_S = 0.25


def compute_search_delay_s(route: routes.Route, *, has_holds: bool) -> float:
    """Returns the silence after which another engine is looked for.

    Args:
        route: The route of the stream.
        has_holds: Whether the engines of the service set memory aside.

    >>> route = routes.Route(
    ...     name="r", host="h", prefix="/", kind=routes.RouteKind.GENERATION,
    ...     services=(), timeout_s=14.0, target_s=0.9, target_gap_s=0.3)
    >>> compute_search_delay_s(route, has_holds=True)
    1.8
    """
    caller_wait_s = max(
        _MIN_CALLER_WAIT_S,
        _CALLER_WAIT_TARGETS * route.target_s,
        _CALLER_WAIT_GAPS * route.target_gap_s,
    )
    share = _SEARCH_SHARE if has_holds else _UNSECURED_SEARCH_SHARE
    return share * caller_wait_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Standby:
    """An engine that a stream may move to.

    Attributes:
        grant: The capacity reserved there.
        hold: The memory that the engine has set aside, or None if engines of
            the service don't do that.
    """

    grant: dispatch.Grant
    hold: _holds.KvHold | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """Why a stream can't leave its silent engine now.

    Attributes:
        reason: The reason, for the log.
    """

    reason: str


def has_holds(service: routes.Service) -> bool:
    """Returns whether the engines of a service set memory aside."""
    return service.engine is not None and service.engine.hold_s > 0


class StandbyFinder:
    """Finds engines for streams whose engines are silent.

    Args:
        context: State shared by the parts of the router.
        admission: Reserves capacity.
        holds: Asks engines to set memory aside.
    """

    def __init__(
        self,
        *,
        context: _context.ForwardingContext,
        admission: _admission.AdmissionController,
        holds: _holds.HoldTaker,
    ):
        self._context = context
        self._admission = admission
        self._holds = holds

    def watch(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        reading: defer.Deferred,
        *,
        generated_tokens: int = 0,
    ) -> "StandbyWatch":
        """Starts to wait for the next bytes of an engine.

        Args:
            task: The request.
            engine: The engine that runs it.
            reading: Fires with the next bytes. It is cancelled once another
                engine is ready.
            generated_tokens: Tokens that the caller has received. Before the
                first one the prompt may be prefilled by a prefill engine.

        Returns:
            The watch, which has to be closed after `reading` has fired.
        """
        watch = StandbyWatch(
            reactor=self._context.reactor,
            request_id=task.request_id,
            engine=engine,
            reading=reading,
            find_standby=lambda: self._secure(task, generated_tokens),
            spend_retry=lambda: _retries.may_send_again(
                self._context, task, _retries.SILENT_VERDICT
            ),
            release=self._release,
        )
        delay_s = compute_search_delay_s(
            task.route, has_holds=has_holds(task.service)
        )
        watch.start(delay_s)
        return watch

    async def _secure(
        self, task: _task.RequestTask, generated_tokens: int
    ) -> Standby | Unavailable:
        """Reserves capacity and memory for a stream at another engine."""
        needs_prefill = not generated_tokens
        obstacle = _retries.find_obstacle(
            self._context,
            task,
            _retries.SILENT_VERDICT,
            # The prompt is prefilled once more as well.
            retries=2 if needs_prefill else 1,
        )
        if obstacle is not None:
            return Unavailable(reason=obstacle.value)
        grant = self._admission.try_acquire(task, needs_prefill=needs_prefill)
        if grant is None:
            return Unavailable(reason="no other engine has capacity")
        name = grant.decode.name
        hold = None
        if has_holds(task.service):
            hold = await self._take_hold(task, grant, generated_tokens)
            if hold is None:
                return Unavailable(reason=f"{name} granted no memory")
        standby = Standby(grant=grant, hold=hold)
        if grant.decode.find_denial(self._context.now()) is not None:
            self._release(standby)
            return Unavailable(reason=f"{name} takes nothing new")
        return standby

    async def _take_hold(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        generated_tokens: int,
    ) -> _holds.KvHold | None:
        """Asks for memory; releases the grant if the engine grants none."""
        try:
            hold = await self._holds.take(
                task, grant, generated_tokens=generated_tokens
            )
        except BaseException:
            self._admission.release(grant)
            raise
        if isinstance(hold, _holds.KvHold):
            return hold
        self._admission.release(grant)
        return None

    def _release(self, standby: Standby) -> None:
        self._admission.release(standby.grant)
        if standby.hold is not None:
            self._holds.release(standby.hold)


class StandbyWatch:
    """Looks for another engine while one is silent.

    Args:
        reactor: The reactor.
        request_id: The id of the stream's request.
        engine: The engine that may fall silent.
        reading: Fires with that engine's next bytes.
        find_standby: Tries to get a standby engine ready.
        spend_retry: Takes the retry from the budget; returns False if the
            budget is spent.
        release: Gives a standby engine up.

    Attributes:
        standby: The engine that is ready; `reading` was cancelled for it.
    """

    def __init__(
        self,
        *,
        reactor,
        request_id: str,
        engine: dispatch.Endpoint,
        reading: defer.Deferred,
        find_standby: Callable[[], Awaitable[Standby | Unavailable]],
        spend_retry: Callable[[], bool],
        release: Callable[[Standby], None],
    ):
        self._request_id = request_id
        self._engine = engine
        self._reading = reading
        self._find_standby = find_standby
        self._spend_retry = spend_retry
        self._release = release
        self._timer = _timers.SilenceTimer(
            reactor=reactor, on_silence=self._begin
        )
        self._attempt: defer.Deferred | None = None
        self._logged_reason = ""
        self._is_closed = False
        self.standby: Standby | None = None

    def start(self, delay_s: float) -> None:
        """Starts to wait; the search begins after a delay in seconds."""
        self._timer.start(delay_s)

    def close(self) -> None:
        """Ends the search and releases what it has reserved."""
        self._is_closed = True
        self._timer.close()
        if self._attempt is not None and self.standby is None:
            self._attempt.cancel()

    def _begin(self) -> None:
        self._attempt = defer.ensureDeferred(self._search())
        self._attempt.addErrback(self._log_failure)

    async def _search(self) -> None:
        """Makes one attempt, and schedules the next one if it fails."""
        match await self._find_standby():
            case Standby() as standby if self._is_closed:
                self._release(standby)
            case Standby() as standby if self._spend_retry():
                self._log(f"moves to {standby.grant.decode.name}")
                self.standby = standby
                self._reading.cancel()
            case Standby() as standby:
                self._release(standby)
                self._schedule_search(_retries.Obstacle.BUDGET.value)
            case Unavailable(reason=reason):
                self._schedule_search(reason)

    def _schedule_search(self, reason: str) -> None:
        if self._is_closed:
            return
        if reason != self._logged_reason:
            self._logged_reason = reason
            self._log(f"stays: {reason}")
        self._timer.start(_SEARCH_INTERVAL_S)

    def _log(self, outcome: str) -> None:
        _LOG.info(
            "stream: request %s at the silent engine %s %s.",
            self._request_id,
            self._engine.name,
            outcome,
            extra={
                "request": self._request_id,
                "endpoint": self._engine.name,
                "outcome": outcome,
            },
        )

    @staticmethod
    def _log_failure(reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.error(
                "stream: the search for another engine has failed: %s",
                reason.getTraceback(),
            )
