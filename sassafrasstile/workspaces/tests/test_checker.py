"""Who a request runs as: the rows of docs/design/workspace-keys.md."""

import unittest

from sassafrasstile import errors
from sassafrasstile import workspaces

_MAX_AGE_S = 5.0
_FRESH_AGE_S = 2.0
_UNKNOWN = errors.Code.UNKNOWN_KEY
_WITHDRAWN = errors.Code.KEY_WITHDRAWN
_UNCONFIRMED = errors.Code.KEYS_UNCONFIRMED


class CheckerTestCase(unittest.TestCase):
    """A checker whose configuration and age of belief the test sets."""

    def setUp(self):
        self.age_s = 0.0
        self.directory = None
        self.checker = self.make_checker()
        self.configure(one=["k1"], two=["k2"])

    def make_checker(self, **fields):
        return workspaces.AccessChecker(
            read_directory=lambda: self.directory,
            measure_age_s=lambda: self.age_s,
            fresh_age_s=_FRESH_AGE_S,
            **{"max_age_s": _MAX_AGE_S, **fields},
        )

    def configure(self, **keys):
        self.directory = workspaces.WorkspaceDirectory(
            workspaces=[
                workspaces.Workspace(name=name, keys=frozenset(items))
                for name, items in keys.items()
            ]
        )

    def call(self, function, *args, **fields):
        """Returns the workspace's name, or the code of the refusal."""
        try:
            return function(*args, **fields).workspace_name
        except workspaces.AccessError as reason:
            expected = 503 if reason.code is _UNCONFIRMED else 401
            self.assertEqual(reason.status, expected)
            return reason.code

    def identify(self, key, *, is_open=False):
        return self.call(self.checker.identify, key, is_open=is_open)


class ArrivalTest(CheckerTestCase):
    """What a request may run as when it arrives."""

    def check(self, key, *, closed, opened="", age_s=0.0):
        self.age_s = age_s
        with self.subTest(key=key, age_s=age_s):
            self.assertEqual(self.identify(key), closed)
            self.assertEqual(self.identify(key, is_open=True), opened)

    def test_rows_of_the_table(self):
        self.check("k1", closed="one", opened="one")
        self.check("k1", closed="one", opened="one", age_s=_MAX_AGE_S)
        self.check("k1", closed=_UNCONFIRMED, age_s=_MAX_AGE_S + 0.1)
        self.check("k9", closed=_UNKNOWN)
        # It may have been added lately.
        self.check("k9", closed=_UNCONFIRMED, age_s=_FRESH_AGE_S + 0.1)
        self.check(None, closed=_UNKNOWN)
        self.check(None, closed=_UNKNOWN, age_s=_MAX_AGE_S + 0.1)

    def test_belief_that_was_never_confirmed_is_none(self):
        for key in ("k1", "k9"):
            self.check(key, closed=_UNCONFIRMED, age_s=float("inf"))

    def test_last_known_keys_go_on_where_no_age_is_set(self):
        self.checker = self.make_checker(max_age_s=None)
        self.check("k1", closed="one", opened="one", age_s=float("inf"))
        self.check("k9", closed=_UNCONFIRMED, age_s=float("inf"))

    def test_key_of_two_workspaces_belongs_to_the_first(self):
        with self.assertLogs("sassafrasstile.workspaces") as logs:
            self.configure(one=["k0"], two=["k0", "k2"])
        self.assertNotIn("k0", repr(logs.records[0].__dict__))
        self.check("k0", closed="one", opened="one")

    def test_without_workspaces_nothing_is_asked_for(self):
        self.directory = None
        for key in ("k1", None):
            access = self.checker.identify(key, is_open=False)
            self.assertEqual(access, workspaces.ANONYMOUS)

    def test_error_names_the_workspace_and_never_the_key(self):
        self.age_s = _MAX_AGE_S + 0.1
        for key, name in (("k1", "one"), ("k9", "")):
            with self.assertRaises(workspaces.AccessError) as raised:
                self.checker.identify(key, is_open=False)
            self.assertEqual(raised.exception.workspace, name)
            self.assertNotIn(key, f"{raised.exception} {raised.exception!r}")


class SendTest(CheckerTestCase):
    """A request that was accepted earlier is about to be sent."""

    def accept(self, key, *, is_open=False):
        self.key, self.is_open = key, is_open
        self.access = self.checker.identify(key, is_open=is_open)

    def check(self, expected, denial=None):
        """Checks a review, and that what was known before isn't sent."""
        self.assertEqual(self.checker.find_denial(self.access), denial)
        reviewed = self.call(
            self.checker.review,
            self.access,
            key=self.key,
            is_open=self.is_open,
        )
        self.assertEqual(reviewed, expected)

    def test_key_that_is_still_there(self):
        self.accept("k1")
        self.configure(three=["k3"], one=["k1"])
        self.check("one")

    def test_key_that_was_withdrawn(self):
        self.accept("k1")
        self.configure(one=["k5"])
        self.check(_WITHDRAWN, _WITHDRAWN)

    def test_key_that_was_withdrawn_at_an_open_route(self):
        self.accept("k1", is_open=True)
        self.configure(one=["k5"])
        self.check("", _WITHDRAWN)

    # In one version; it was counted and queued for the former one.
    def test_key_that_moved_to_another_workspace(self):
        self.accept("k1")
        self.configure(one=["k5"], two=["k1"])
        self.check(_WITHDRAWN, _WITHDRAWN)
        self.assertEqual(self.identify("k1"), "two")
        # It needs no key there.
        self.is_open = True
        self.check("two", _WITHDRAWN)

    def test_belief_that_has_become_too_old(self):
        self.accept("k1")
        self.age_s = _MAX_AGE_S + 0.1
        self.check(_UNCONFIRMED, _UNCONFIRMED)
        self.accept("k1", is_open=True)
        self.check("")

    def test_belief_that_has_become_too_old_at_an_open_route(self):
        self.accept("k1", is_open=True)
        self.age_s = _MAX_AGE_S + 0.1
        self.check("", _UNCONFIRMED)

    def test_open_route_without_a_key(self):
        self.accept(None, is_open=True)
        self.configure(one=["k5"])
        self.age_s = float("inf")
        self.check("")

    # What it would show to the endpoint is the caller's key.
    def test_configuration_that_gains_workspaces(self):
        configured, self.directory = self.directory, None
        for key, expected in (
            ("k1", "one"),
            ("k9", _UNKNOWN),
            (None, _UNKNOWN),
        ):
            self.accept(key)
            self.directory = configured
            with self.subTest(key=key):
                self.check(expected, _WITHDRAWN)
            self.directory = None

    def test_configuration_that_loses_its_workspaces(self):
        for key, is_open in (("k1", False), (None, True)):
            self.configure(one=["k1"])
            self.accept(key, is_open=is_open)
            self.directory = None
            with self.subTest(key=key):
                self.check("", _WITHDRAWN)
                self.assertEqual(
                    self.checker.review(self.access, key=key, is_open=is_open),
                    workspaces.ANONYMOUS,
                )


class QualifiedNameTest(unittest.TestCase):
    """Names that callers choose are told apart by workspace."""

    def test_no_two_workspaces_share_a_name(self):
        accesses = [
            workspaces.Access(
                workspace=workspaces.Workspace(name=name),
                hides_credentials=True,
            )
            for name in ("one", "two")
        ]
        accesses += [workspaces.OUTSIDE, workspaces.ANONYMOUS]
        names = {item.qualify("p1") for item in accesses}
        self.assertEqual(len(names), len(accesses))
        # What is remembered for one can't be asked for under a made-up name.
        made_up = accesses[0].qualify("p1")
        self.assertNotIn(workspaces.OUTSIDE.qualify(made_up), names)

    def test_long_names_have_a_fixed_length(self):
        long = workspaces.OUTSIDE.qualify("x" * 5000)
        self.assertEqual(len(long), len(workspaces.OUTSIDE.qualify("x")))
        self.assertEqual(workspaces.OUTSIDE.qualify(""), "")
