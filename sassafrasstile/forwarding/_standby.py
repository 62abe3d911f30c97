"""Engines that are ready to take a stream over from a silent one.

A silent engine may go on at any time, so a stream leaves it only for an engine
that has already set memory aside for it. Until then it waits.
"""

from collections.abc import Awaitable, Callable
import dataclasses
import logging

from twisted.internet import defer
from twisted.internet import task as tasks

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import routes
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _admission
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _holds
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A caller gives a stream up after the longest of these times without an event:
# this time,
_MIN_PATIENCE_S = 2.0
# this many targets for the first token,
_PATIENCE_TARGETS = 4.0
# and this many targets for the gap between two tokens.
_PATIENCE_GAPS = 8.0
# Another engine is looked for after this share of the caller's patience. The
# rest is left to it for the prefill of what the caller has received.
_SEARCH_SHARE = 0.5
# Interval of the attempts to find one.
_SEARCH_INTERVAL_S = 0.25


def compute_search_delay_s(route: routes.Route) -> float:
    """Returns the silence after which another engine is looked for.

    Args:
        route: The route of the stream.

    >>> route = routes.Route(
    ...     name="r", host="h", prefix="/", kind=routes.RouteKind.GENERATION,
    ...     services=(), timeout_s=14.0, target_s=0.9, target_gap_s=0.3)
    >>> compute_search_delay_s(route)
    1.8
    """
    patience_s = max(
        _MIN_PATIENCE_S,
        _PATIENCE_TARGETS * route.target_s,
        _PATIENCE_GAPS * route.target_gap_s,
    )
    return _SEARCH_SHARE * patience_s


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
        generated_tokens: int,
    ) -> "StandbyWatch":
        """Starts to wait for the next bytes of an engine.

        Args:
            task: The request.
            engine: The engine that runs it.
            reading: Fires with the next bytes. It is cancelled once another
                engine is ready.
            generated_tokens: Tokens that the caller has received.

        Returns:
            The watch, which has to be closed after `reading` has fired.
        """
        watch = StandbyWatch(
            reactor=self._context.reactor,
            request_id=task.request_id,
            engine=engine,
            reading=reading,
            secure=lambda: self._secure(task, generated_tokens),
            release=self._release,
        )
        watch.start(compute_search_delay_s(task.route))
        return watch

    async def _secure(
        self,
        task: _task.RequestTask,
        generated_tokens: int,
    ) -> Standby | Unavailable:
        """Reserves capacity and memory for a stream at another engine."""
        verdict = verdicts.MayHaveRun(code=errors.Code.ENDPOINT_SILENT)
        obstacle = _retries.find_obstacle(self._context, task, verdict)
        if obstacle is not None:
            return Unavailable(reason=obstacle.value)
        grant = self._admission.try_acquire(task)
        if grant is None:
            return Unavailable(reason="no other engine has capacity")
        standby = await self._take_hold(task, grant, generated_tokens)
        if standby is None:
            return Unavailable(reason=f"{grant.decode.name} has no room")
        if not _retries.may_send_again(self._context, task, verdict):
            self._release(standby)
            return Unavailable(reason=_retries.Obstacle.BUDGET.value)
        return standby

    async def _take_hold(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        generated_tokens: int,
    ) -> Standby | None:
        """Lets the engine of a grant confirm it; releases the grant if not."""
        if not task.service.engine.hold_s:
            return Standby(grant=grant, hold=None)
        hold = None
        try:
            hold = await self._holds.take(
                task, grant, generated_tokens=generated_tokens
            )
        finally:
            if not isinstance(hold, _holds.KvHold):
                self._admission.release(grant)
        if not isinstance(hold, _holds.KvHold):
            return None
        return Standby(grant=grant, hold=hold)

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
        secure: Tries to get a standby engine ready.
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
        secure: Callable[[], Awaitable[Standby | Unavailable]],
        release: Callable[[Standby], None],
    ):
        self._reactor = reactor
        self._request_id = request_id
        self._engine = engine
        self._reading = reading
        self._secure = secure
        self._release = release
        self._timer = None
        self._search: defer.Deferred | None = None
        self._reason = ""
        self.standby: Standby | None = None

    def start(self, delay_s: float) -> None:
        """Starts to wait; the search begins after a delay in seconds."""
        self._timer = self._reactor.callLater(delay_s, self._begin)

    def close(self) -> None:
        """Ends the search."""
        if self._timer.active():
            self._timer.cancel()
        if self._search is not None:
            self._search.cancel()

    def _begin(self) -> None:
        self._search = defer.ensureDeferred(self._search_repeatedly())
        self._search.addCallbacks(self._move, self._log_failure)

    async def _search_repeatedly(self) -> Standby:
        while True:
            match await self._secure():
                case Standby() as standby:
                    self._log(f"moves to {standby.grant.decode.name}")
                    return standby
                case Unavailable(reason=reason) if reason != self._reason:
                    self._reason = reason
                    self._log(f"stays: {reason}")
            await tasks.deferLater(self._reactor, _SEARCH_INTERVAL_S)

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

    def _move(self, standby: Standby) -> None:
        if self._reading.called:
            self._release(standby)
            return
        self.standby = standby
        self._reading.cancel()

    @staticmethod
    def _log_failure(reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.error(
                "stream: the search for another engine has failed: %s",
                reason.getTraceback(),
            )
