import os
import unittest
import unittest.mock

from sassafrasstile import errors
from sassafrasstile import frontend
from sassafrasstile import settings

_KEYS = {"K_ONE": "k-one", "K_TWO": "k-two"}


class CallerDirectoryTest(unittest.TestCase):
    """The workspace of a caller of the project's own interface."""

    def make_directory(self, **variables):
        directory = frontend.CallerDirectory(
            workspaces={
                name: settings.WorkspaceSettings(
                    key_env=variable, deferred=name == "two"
                )
                for name, variable in variables.items()
            }
        )
        with unittest.mock.patch.dict(os.environ, _KEYS):
            directory.start()
        return directory

    def check(self, directory, expected, *, key="", name=""):
        with self.subTest(key=key, name=name):
            if expected is not None:
                found = directory.find(key=key, name=name)
                self.assertEqual(found, expected)
                return
            with self.assertRaises(errors.RequestError) as raised:
                directory.find(key=key, name=name)
            self.assertEqual(raised.exception.status, 401)
            if key:
                self.assertNotIn(key, str(raised.exception))

    def test_key_or_name_of_a_workspace(self):
        directory = self.make_directory(one="K_ONE", two="K_TWO", free="")
        self.check(directory, "one", key="k-one")
        self.check(directory, "one", key="k-one", name="one")
        self.check(directory, "free", name="free")
        self.check(directory, "free", key="k-one", name="free")
        self.check(directory, None, key="k-one", name="two")
        self.check(directory, None, key="k-none")
        self.check(directory, None, name="one")
        self.check(directory, None)
        self.assertTrue(directory.is_deferred("two"))
        self.assertFalse(directory.is_deferred("one"))

    def test_without_workspaces_all_callers_belong_to_one(self):
        self.check(self.make_directory(), "default", key="k", name="x")

    def test_key_of_two_workspaces_belongs_to_the_first(self):
        with self.assertLogs("sassafrasstile.workspaces") as logs:
            directory = self.make_directory(one="K_ONE", two="K_ONE")
        self.assertNotIn("k-one", str(logs.output))
        self.check(directory, "one", key="k-one")

    def test_key_that_is_missing_is_an_error(self):
        with self.assertRaises(errors.ConfigurationError) as raised:
            self.make_directory(one="K_NONE")
        self.assertIn("K_NONE", str(raised.exception))
