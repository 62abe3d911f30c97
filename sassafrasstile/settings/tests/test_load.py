import pathlib
import tempfile
import unittest

from sassafrasstile import errors
from sassafrasstile import settings

_BASE = """\
site:
  name: base
models:
  writer:
    max_tokens: 100
services:
  desk: {}
log:
  url: http://127.0.0.1:9000
workspaces:
  a: {deferred: true}
  b: {}
"""

_ENDPOINT = """\
endpoints:
  decode-1:
    role: decode
    serves: writer
    sidecar: 127.0.0.1:7001
    admin: 127.0.0.1:7002
    url: http://127.0.0.1:7003
"""


class LoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_overlay_replaces_single_values(self):
        base = self.write("base.yaml", _BASE)
        overlay = self.write("site.yaml", "site: {name: oslo}\n")
        site = settings.load_site([base, overlay])
        self.assertEqual(site.site.name, "oslo")
        self.assertEqual(site.models["writer"].max_tokens, 100)

    def test_null_in_overlay_removes_a_key(self):
        base = self.write("base.yaml", _BASE)
        overlay = self.write("site.yaml", "workspaces: {a: null}\n")
        site = settings.load_site([base, overlay])
        self.assertEqual(list(site.workspaces), ["b"])

    def test_origins_name_file_and_line(self):
        base = self.write("base.yaml", _BASE)
        overlay = self.write("site.yaml", "\nsite: {name: oslo}\n")
        tree = settings.merge_files([base, overlay])
        site = settings.check_tree(tree.values, tree.origins)
        lines = settings.render_tree(site, tree)
        self.assertIn(f"site.name = 'oslo'  # {overlay}:2", lines)
        self.assertIn(f"models.writer.max_tokens = 100  # {base}:5", lines)
        self.assertIn("leases.lease_s = 2.5  # default", lines)

    def test_errors_name_the_location_value_and_code(self):
        table = (
            ("site: {name: OSLO}\n", 1, "'OSLO'", "config_invalid"),
            ("site: {name: x}\nsite: {name: y}\n", 2, "twice", None),
            ("site: [1\n", 2, "expected", "config_syntax"),
            ("- 1\n", 1, "mapping", "config_invalid"),
            ("routing:\n  policy: best\n", 2, "two_choices", None),
            ("routing:\n  tries: -3\n", 2, "-3", None),
            ("routing:\n  trys: 3\n", 2, "not a setting", None),
            ("log:\n  url: ''\n", 2, "claimed", None),
            ("leases:\n  renew_s: 2\n", 2, "half", None),
            ("routing:\n  renew_s: 2\n", 2, "half", None),
            ("routing:\n  lease_s: 9\n", 2, "leases.lease_s", None),
            (_ENDPOINT.replace("writer", "poet"), 4, "'poet'", None),
            (_ENDPOINT.replace("role: decode", "role: dec"), 3, "'dec'", None),
            (_ENDPOINT.replace("127.0.0.1:7001", "host:1"), 5, "host", None),
            (_ENDPOINT.replace("http://127", "ftp://127"), 7, "ftp", None),
        )
        base = self.write("base.yaml", _BASE)
        for text, line, words, code in table:
            with self.subTest(text):
                overlay = self.write("site.yaml", text)
                with self.assertRaises(errors.ConfigurationError) as raised:
                    settings.load_site([base, overlay])
                error = raised.exception
                self.assertEqual(error.code, code or "config_invalid")
                self.assertEqual((error.file, error.line), (overlay, line))
                self.assertIn(words, error.detail)

    def test_rate_of_a_link_has_no_limit_in_seconds(self):
        base = self.write("base.yaml", _BASE)
        text = "routing:\n  transfer_token_rate: 50000\n"
        site = settings.load_site([base, self.write("site.yaml", text)])
        self.assertEqual(site.routing.transfer_token_rate, 50000)

    def test_missing_file_has_its_own_code(self):
        with self.assertRaises(errors.ConfigurationError) as raised:
            settings.load_site([str(self.folder / "none.yaml")])
        self.assertEqual(raised.exception.code, "config_unreadable")

    def test_missing_setting_is_named(self):
        base = self.write("base.yaml", "models: {}\n")
        with self.assertRaises(errors.ConfigurationError) as raised:
            settings.load_site([base])
        self.assertIn("site is missing", raised.exception.detail)
