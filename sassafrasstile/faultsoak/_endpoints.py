"""Scripted endpoints that count executions."""

import collections
import json
import random

from sassafrasstile import standins

_HANDLE = "h"


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
    """

    def __init__(
        self,
        *,
        reactor,
        execution_log: ExecutionLog,
        generator: random.Random,
        stage: str | None,
    ):
        self._execution_log = execution_log
        self._generator = generator
        self.stage = stage
        self.failure_probability = 0.0
        self.server = standins.PlatformEndpoint(
            reactor=reactor, script=self._answer
        )

    def _answer(
        self, request: standins.EndpointRequest
    ) -> standins.EndpointAnswer:
        if request.method == "DELETE" or not request.request_id:
            return standins.make_answer(request, signed=False)
        if request.headers.get("x-stage") == "prefill":
            return standins.make_handle(request, _HANDLE)
        if self._generator.random() < 0.03:
            return standins.make_refusal(request)
        self._execution_log.counts[request.request_id] += 1
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
