"""Blocking calls beside the reactor."""

import threading

from twisted.internet import defer
from twisted.internet import reactor
from twisted.python import failure


def run_in_thread(function, *arguments) -> defer.Deferred:
    """Runs a blocking call in a thread that doesn't outlive the process.

    The reactor's own threads would keep the process of the tests from ending,
    since tests never stop the reactor.

    Returns:
        A Deferred with the result of the call.
    """
    deferred: defer.Deferred = defer.Deferred()

    def call() -> None:
        try:
            result = function(*arguments)
        except Exception:
            result = failure.Failure()
        reactor.callFromThread(deferred.callback, result)

    threading.Thread(target=call, daemon=True).start()
    return deferred
