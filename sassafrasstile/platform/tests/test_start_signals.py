"""Signals that reach a gateway process while it starts."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import yaml

from sassafrasstile import testing
from sassafrasstile.platform import _names

_WAIT_S = 60.0
_POLL_INTERVAL_S = 0.01
_MODULE = ("-m", "sassafrasstile.platform")
# The interpreter's own clean-up would change the exit code.
_NOTICED_CLEAN_UP = """
import atexit, os, runpy
atexit.register(os._exit, 7)
runpy.run_module("sassafrasstile.platform", run_name="__main__")
"""


def _is_open(port):
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0):
            return True
    except OSError:
        return False


class StartSignalTest(unittest.TestCase):
    """Signals that arrive before the gateway can serve."""

    def start(self, arguments=_MODULE):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.port = testing.pick_port()
        self.ready_port = testing.pick_port()
        internal_port = testing.pick_port()
        settings = {
            "nodeName": "edge-1",
            "zone": "a",
            "ip": "127.0.0.1",
            "listen": {
                "frontend": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internalPorts": [internal_port, internal_port],
            "platform": {"address": f"127.0.0.1:{testing.pick_port()}"},
        }
        path = pathlib.Path(folder.name) / "settings.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, _names.SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def wait_until_open(self, port):
        deadline = time.monotonic() + _WAIT_S
        while not _is_open(port) and self.process.poll() is None:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(_POLL_INTERVAL_S)

    # The process ended, and callers that waited on its port were reset.
    def test_reload_during_the_start_ends_nothing(self):
        self.start()
        self.wait_until_open(self.port)
        self.process.send_signal(signal.SIGHUP)
        self.wait_until_open(self.ready_port)
        self.assertIsNone(self.process.poll())

    # The process ended at once, and callers that waited on its port were reset.
    def test_callers_that_wait_are_answered_after_a_stop_during_the_start(self):
        self.start()
        self.wait_until_open(self.port)
        with socket.create_connection(("127.0.0.1", self.port)) as caller:
            caller.settimeout(_WAIT_S)
            caller.sendall(testing.make_request("/once/"))
            self.process.send_signal(signal.SIGTERM)
            self.assertIn(b" 503 ", caller.recv(4096))
        self.assertEqual(self.process.wait(_WAIT_S), 0)

    # A signal that arrived while the interpreter ended gave another exit code,
    # as if the process had been killed.
    def test_signals_at_the_end_do_not_change_the_exit_code(self):
        self.start()
        self.wait_until_open(self.ready_port)
        deadline = time.monotonic() + _WAIT_S
        while self.process.poll() is None:
            self.assertLess(time.monotonic(), deadline)
            self.process.send_signal(signal.SIGTERM)
            self.process.send_signal(signal.SIGHUP)
            time.sleep(_POLL_INTERVAL_S / 10)
        self.assertEqual(self.process.returncode, 0)

    # Guards against processes that are killed at the end of the grace time: the
    # interpreter's clean-up takes long on a busy machine (issue 53).
    def test_stop_leaves_the_interpreters_clean_up_out(self):
        self.start(arguments=("-c", _NOTICED_CLEAN_UP))
        self.wait_until_open(self.ready_port)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(_WAIT_S), 0)
