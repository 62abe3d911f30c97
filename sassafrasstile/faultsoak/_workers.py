"""Endpoints that remember what they ran."""

import collections
import json
import random

from sassafrasstile import standins

_HANDLE = "h"


class WorkLedger:
    """What every endpoint has run, by request id."""

    def __init__(self):
        self.runs: collections.Counter[str] = collections.Counter()


class SoakWorker:
    """A scripted endpoint.

    Args:
        reactor: The reactor.
        ledger: Where runs are noted.
        generator: The source of random numbers.
        stage: `prefill`, `decode`, or None for a plain service.
    """

    def __init__(
        self,
        *,
        reactor,
        ledger: WorkLedger,
        generator: random.Random,
        stage: str | None,
    ):
        self._ledger = ledger
        self._generator = generator
        self.stage = stage
        self.fails = 0.0
        self.endpoint = standins.PlatformEndpoint(
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
        self._ledger.runs[request.request_id] += 1
        if self._generator.random() < self.fails:
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
                pieces = [standins.Piece(data=b"\0 no answer\r\n\r\n")]
                return standins.EndpointAnswer(pieces=pieces)
            case _:
                return standins.SILENCE
