import os
import tempfile
import unittest
from unittest import mock

from sassafrasstile import errors
from sassafrasstile import web
from sassafrasstile.platform import _names
from sassafrasstile.platform import _settings

_GOOD = """
nodeName: "edge-1"
zone: "a"
ip: "10.1.0.38"
listen: {frontend: "10.1.0.38:8149", ready: "10.1.0.38:8141"}
internalPorts: [7380, 7395]
heartbeatMs: 900
bounds: {graceS: 6, retryBudgetRatio: 0.1, retryWindowS: 5, new: 1,
         configApplyMs: 3000, drainMs: 2500}
platform: {address: "10.200.1.7:8142"}
unknown: true
"""


class SettingsTest(unittest.TestCase):
    """Decoding of the platform's settings file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "local.yaml")
        patch = mock.patch.dict(
            os.environ, {_names.SETTINGS_VARIABLE: self.path}
        )
        patch.start()
        self.addCleanup(patch.stop)

    def write(self, text):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def test_values_are_converted_to_the_project_s_units(self):
        self.write(_GOOD)
        settings = _settings.SettingsFile(metrics_port=9).read()
        self.assertEqual((settings.host, settings.port), ("10.1.0.38", 8149))
        self.assertEqual(settings.store_port, 8142)
        self.assertEqual(settings.grace_s, 6)
        self.assertEqual(settings.heartbeat_s, 0.9)
        self.assertEqual(settings.dispatch.retry_ratio, 0.1)

    def test_propagation_limit_is_the_smaller_bound(self):
        self.write(_GOOD)
        self.assertEqual(
            _settings.SettingsFile().read().propagation_limit_s, 2.5
        )
        self.write(_GOOD.replace("drainMs: 2500", "drainMs: 4000"))
        self.assertEqual(
            _settings.SettingsFile().read().propagation_limit_s, 3.0
        )

    def test_bounds_on_reads(self):
        self.write(_GOOD + "readBounds: {answerBytes: 70000}\n")
        bounds = _settings.SettingsFile().read().read_bounds
        self.assertEqual(bounds, web.ReadBounds(answer_bytes=70000))
        self.write(_GOOD + "readBounds: {answerBytes: 0}\n")
        with self.assertRaises(errors.ConfigurationError) as caught:
            _settings.SettingsFile().read()
        self.assertIn("answer_bytes", caught.exception.detail)

    def test_time_for_callers_that_read_nothing(self):
        self.write(_GOOD + "callerStallMs: 1500\n")
        self.assertEqual(_settings.SettingsFile().read().caller_stall_s, 1.5)
        self.write(_GOOD + "callerStallMs: 0\n")
        with self.assertRaises(errors.ConfigurationError):
            _settings.SettingsFile().read()

    def test_buffered_bytes_follow_from_the_memory(self):
        for text, expected in (
            ("", web.DEFAULT_MAX_BUFFERED_BYTES),
            ("limits: {memoryMb: 100}", 15000000),
            ("limits: {memoryMb: 100}\nmaxBufferedBytes: 70000", 70000),
        ):
            with self.subTest(text=text):
                self.write(_GOOD + text)
                settings = _settings.SettingsFile().read()
                self.assertEqual(settings.max_buffered_bytes, expected)

    def test_errors_have_a_code_and_name_the_file(self):
        cases = {
            errors.Code.CONFIG_SYNTAX: "a: [",
            errors.Code.CONFIG_INVALID: _GOOD.replace("10.1.0.38:8149", "x"),
        }
        for code, text in cases.items():
            self.write(text)
            with self.assertRaises(errors.ConfigurationError) as caught:
                _settings.SettingsFile().read()
            self.assertEqual(caught.exception.code, code)
            self.assertIn(self.path, str(caught.exception))

    def test_missing_file(self):
        with self.assertRaises(errors.ConfigurationError) as caught:
            _settings.SettingsFile().read()
        self.assertEqual(caught.exception.code, errors.Code.CONFIG_UNREADABLE)

    def test_change_is_detected_without_a_signal(self):
        self.write(_GOOD)
        source = _settings.SettingsFile()
        source.read()
        self.assertFalse(source.has_changed())
        self.write(_GOOD + "more: 1\n")
        self.assertTrue(source.has_changed())
        source.read()
        self.assertFalse(source.has_changed())
