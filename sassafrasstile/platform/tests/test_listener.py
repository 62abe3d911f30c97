import os
import socket
import tempfile
import unittest
from unittest import mock

import yaml

from sassafrasstile import testing
from sassafrasstile.platform import _listener
from sassafrasstile.platform import _names


class ListenerTest(unittest.TestCase):
    """Callers that connect while a gateway is still starting."""

    def open(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write(text)
            file.flush()
            variables = {_names.SETTINGS_VARIABLE: file.name}
            with mock.patch.dict(os.environ, variables):
                return _listener.open_listener()

    def test_port_accepts_connections(self):
        port = testing.pick_port()
        document = {"listen": {"frontend": f"127.0.0.1:{port}"}}
        listener = self.open(yaml.safe_dump(document))
        self.addCleanup(listener.close)
        with socket.create_connection(("127.0.0.1", port), timeout=1.0):
            pass

    def test_unusable_settings_open_nothing(self):
        for text in ("", "listen: {}", "listen: {frontend: here}", "a: [", "7"):
            with self.subTest(text=text):
                self.assertIsNone(self.open(text))

    def test_unreadable_settings_open_nothing(self):
        variables = {_names.SETTINGS_VARIABLE: "/nowhere/at/all"}
        with mock.patch.dict(os.environ, variables):
            self.assertIsNone(_listener.open_listener())
