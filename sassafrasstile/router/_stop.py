"""The stop of a gateway, from its signal to the last answer."""

from collections.abc import Awaitable, Callable
import logging

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import forwarding
from sassafrasstile import web
from sassafrasstile.router import _caller_port

_LOG = logging.getLogger("sassafrasstile.router")
# Time after which the load balancer sends no new connections to a gateway
# that isn't ready.
_BALANCER_DELAY_S = 3.2
# Remaining grace time at which requests whose answers haven't begun get the
# verdict on them. It is long, since the process may lag.
_UNBEGUN_MARGIN_S = 1.2
# Remaining grace time at which requests still in flight are aborted.
_ABORT_MARGIN_S = 0.7
# The same for callers that still read a complete answer.
_EXIT_MARGIN_S = 0.35
_IDLE_POLL_S = 0.05


class GracefulStop:
    """Answers what has been accepted, and refuses what can't be finished.

    Args:
        reactor: The reactor.
        name: The gateway's name, for logs.
        ingress: The callers' connections.
        caller_port: The port that accepts them.
        router: Knows the requests in flight.
        schedule: Decides what can still be answered in time.
        hand_on: Passes on to other gateways what only this one knows.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        ingress: web.IngressFactory,
        caller_port: _caller_port.CallerPort,
        router: forwarding.Router,
        schedule: forwarding.ShutdownSchedule,
        hand_on: Callable[[], Awaitable[None]],
    ):
        self._reactor = reactor
        self._name = name
        self._ingress = ingress
        self._caller_port = caller_port
        self._router = router
        self._schedule = schedule
        self._hand_on = hand_on

    async def run(self, *, began_at: float, grace_s: float) -> None:
        """Returns once callers have their answers, or the time is over.

        Args:
            began_at: When the stop was asked for, in seconds.
            grace_s: Seconds after which the process is killed.
        """
        aborts_at = began_at + grace_s - _ABORT_MARGIN_S
        self._ingress.is_closing = True
        self._schedule.begin(
            began_at=began_at, ends_at=aborts_at, notice_s=_BALANCER_DELAY_S
        )
        unbegun_at = began_at + grace_s - _UNBEGUN_MARGIN_S
        unbegun_call = self._reactor.callLater(
            max(0.0, unbegun_at - self._now()), self._abort_unbegun
        )
        try:
            await self._finish_requests(aborts_at)
        except Exception:
            _LOG.exception("router: an error in the stop; requests go on.")
            await self._wait_while(self._owes_answers, until=aborts_at)
        if unbegun_call.active():
            unbegun_call.cancel()
        cut = self._abort_requests()
        await self._sleep(_IDLE_POLL_S)
        await self._hand_on()
        await self._wait_while(
            self._owes_answers, until=began_at + grace_s - _EXIT_MARGIN_S
        )
        unread = self._ingress.list_undelivered()
        self._log_unread(unread)
        self._ingress.abort_unframed()
        await self._sleep(0)
        _LOG.info(
            "router: gateway %s stops.",
            self._name,
            extra={"cut": cut, "unread": len(unread)},
        )

    async def _finish_requests(self, until: float) -> None:
        self._router.refuse_denied()
        self._caller_port.accept()
        await self._sleep(_BALANCER_DELAY_S)
        while self._owes_answers() and self._now() < until:
            await self._sleep(_IDLE_POLL_S)
            self._ingress.close_idle()
        # While no gateway is ready, the load balancer may send callers to any
        # of them, so the port accepts connections until now.
        await self._caller_port.close()
        await self._wait_while(self._has_open_requests, until=until)
        self._ingress.close_idle()

    def _abort_unbegun(self) -> None:
        self._router.abort_unbegun()
        # Before anything else: a process that lags may be killed.
        self._ingress.flush()

    def _abort_requests(self) -> int:
        """Ends what is in flight; returns the number of requests."""
        cut = self._router.in_flight
        # What is read from now on is refused.
        self._schedule.end(self._now())
        self._router.abort_all()
        self._ingress.flush()
        return cut

    async def _wait_while(
        self, condition: Callable[[], bool], *, until: float
    ) -> None:
        while condition() and self._now() < until:
            await self._sleep(_IDLE_POLL_S)

    def _owes_answers(self) -> bool:
        """Returns whether a caller hasn't received its whole answer yet."""
        if self._router.in_flight:
            return True
        return bool(self._ingress.list_undelivered())

    def _has_open_requests(self) -> bool:
        """Returns whether callers wait for answers or are sending requests."""
        return self._owes_answers() or self._ingress.expects_requests()

    def _log_unread(self, unread: list[tuple[str, int]]) -> None:
        for label, left in unread:
            _LOG.info(
                "shutdown: the answer to request %s isn't received in whole.",
                label,
                extra={
                    "request": label,
                    "stopping_ms": round(
                        1000 * self._schedule.measure_age_s(self._now())
                    ),
                    "bytes_left": left,
                    "outcome": "unread",
                },
            )

    def _now(self) -> float:
        return self._reactor.seconds()

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
