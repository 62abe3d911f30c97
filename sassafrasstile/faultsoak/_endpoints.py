"""Scripted endpoints that count executions."""

import collections
from collections.abc import Callable
import json
import random

from sassafrasstile import standins
from sassafrasstile.faultsoak import _notice_log

_HANDLE = "h"
_MIN_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 4.0
# This share of the back-offs can't be read.
_UNREADABLE_SHARE = 0.1
_HEAD_START = b"HTTP/1.1 "


class ExecutionLog:
    """Executions at all endpoints.

    Attributes:
        counts: The number of executions by request id.
    """

    def __init__(self):
        self.counts: collections.Counter[str] = collections.Counter()


class ScriptedEndpoint:
    """An endpoint that fails or refuses requests at random.

    Args:
        reactor: The reactor.
        execution_log: Counts the executions.
        generator: The random number generator.
        stage: `prefill`, `decode`, or None for a plain service.
        name: The endpoint's name.
        notices: Records what it announces and what it is sent.
        notice_generator: The random number generator of its notices.

    Attributes:
        is_leaving: True while its answers are drain notices.
        is_shedding: True while it refuses everything and asks for a back-off.
        replace_answer: Returns its answers to requests that it runs, or None.
    """

    def __init__(
        self,
        *,
        reactor,
        execution_log: ExecutionLog,
        generator: random.Random,
        stage: str | None,
        name: str,
        notices: _notice_log.NoticeLog,
        notice_generator: random.Random,
    ):
        self._execution_log = execution_log
        self._generator = generator
        self._reactor = reactor
        self._notices = notices
        self._notice_generator = notice_generator
        self.name = name
        self.is_leaving = False
        self.is_shedding = False
        self.replace_answer: (
            Callable[[standins.EndpointRequest], standins.EndpointAnswer] | None
        ) = None
        self.stage = stage
        self.failure_probability = 0.0
        self.server = standins.PlatformEndpoint(
            reactor=reactor, script=self._answer
        )

    def _answer(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        if request.request_id:
            self._notices.arrivals.append(
                _notice_log.Arrival(
                    endpoint=self.name,
                    request_id=request.request_id,
                    at=self._reactor.seconds(),
                )
            )
        answer = self._shed(request) if self.is_shedding else self._run(request)
        if self.is_leaving and answer.segments:
            answer = self._announce_leaving(request, answer)
        return answer

    def _shed(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        """Refuses a request and asks for a back-off."""
        if self._notice_generator.random() < _UNREADABLE_SHARE:
            return standins.make_refusal(request, retry_after="-1")
        backoff_s = self._notice_generator.uniform(
            _MIN_BACKOFF_S, _MAX_BACKOFF_S
        )
        now = self._reactor.seconds()
        self._notices.notices.append(
            _notice_log.Notice(
                endpoint=self.name,
                request_id=request.request_id,
                at=now,
                until=now + backoff_s,
            )
        )
        return standins.make_refusal(request, retry_after=f"{backoff_s:.3f}")

    def _announce_leaving(
        self,
        request: standins.EndpointRequest,
        answer: standins.EndpointAnswer,
    ) -> standins.EndpointAnswer:
        first = answer.segments[0]
        if not first.data.startswith(_HEAD_START):
            return answer
        self._notices.notices.append(
            _notice_log.Notice(
                endpoint=self.name,
                request_id=request.request_id,
                at=self._reactor.seconds() + first.after_s,
                is_leaving=True,
            )
        )
        return standins.announce_leaving(answer)

    def _run(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        if request.method == "DELETE" or not request.request_id:
            return standins.make_answer(request, signed=False)
        if request.headers.get("x-stage") == "prefill":
            return standins.make_handle(request, _HANDLE)
        if self._generator.random() < 0.03:
            return standins.make_refusal(request)
        self._execution_log.counts[request.request_id] += 1
        if self.replace_answer is not None:
            return self.replace_answer(request)
        if self._generator.random() < self.failure_probability:
            return self._fail(request)
        if self.stage == "decode":
            first = int(request.headers.get("last-event-id", 0)) + 1
            return standins.make_stream(
                request, first=first, count=9 - first, gap_s=0.05
            )
        body = json.dumps({"id": request.request_id}).encode()
        return standins.make_answer(
            request, body=body, after_s=0.02 + 0.1 * self._generator.random()
        )

    def _fail(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        match self._generator.randrange(4):
            case 0:
                return standins.EndpointAnswer(end="reset")
            case 1:
                return standins.make_answer(request, status=500)
            case 2:
                segments = [standins.Segment(data=b"\0 no answer\r\n\r\n")]
                return standins.EndpointAnswer(segments=segments)
            case _:
                return standins.SILENCE
