"""Helpers for tests that need the reactor."""

from collections.abc import Callable
import functools
import json
from typing import Any
import unittest

from twisted.internet import defer
from twisted.web import client

from sassafrasstile import daemons
from sassafrasstile import httpclient

reactor = daemons.install_reactor()
_TEST_TIMEOUT_S = 120.0


def run(coroutine_function: Callable[[], Any]) -> Any:
    """Runs a coroutine on the reactor until it ends.

    Args:
        coroutine_function: Called without arguments once the reactor runs.

    Returns:
        What the coroutine returned.

    Raises:
        Exception: What the coroutine raised.
    """
    results: list[Any] = []

    def end(result):
        results.append(result)
        reactor.crash()

    def begin():
        deferred = defer.ensureDeferred(coroutine_function())
        deferred.addTimeout(_TEST_TIMEOUT_S, reactor)
        deferred.addBoth(end)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def on_reactor(test: Callable[..., Any]) -> Callable[..., None]:
    """Decorates a coroutine test so that it runs on the reactor."""

    @functools.wraps(test)
    def call(self):
        run(lambda: test(self))

    return call


def spawn(coroutine: Any) -> defer.Deferred:
    """Starts a coroutine and returns a Deferred with its result."""
    return defer.ensureDeferred(coroutine)


class ReactorTestCase(unittest.TestCase):
    """A test case with helpers that wait on the reactor."""

    reactor = reactor

    def sleep(self, seconds: float) -> defer.Deferred:
        """Returns a Deferred that fires after a delay in seconds."""
        deferred: defer.Deferred = defer.Deferred()
        reactor.callLater(seconds, deferred.callback, None)
        return deferred

    async def wait_until(
        self, condition: Callable[[], bool], *, timeout_s: float = 30.0
    ) -> None:
        """Waits until a condition holds; fails the test after the timeout."""
        deadline = reactor.seconds() + timeout_s
        while not condition():
            if reactor.seconds() > deadline:
                self.fail("the condition did not hold before the timeout")
            await self.sleep(0.02)


async def fetch_json(
    url: str,
    method: str,
    path: str,
    *,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any, Any]:
    """Sends a request and reads the JSON response.

    Returns:
        The status, the decoded body and the headers.
    """
    http = httpclient.HttpClient(reactor=reactor, base_url=url)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    if body is None:
        data = None
    response = await http.request(method, path, body=data, headers=headers)
    content = await client.readBody(response)
    await http.close()
    return response.code, json.loads(content or b"null"), response.headers
