import unittest

from sassafrasstile import verdicts


class VerdictTest(unittest.TestCase):
    def test_verdicts_are_recreated_from_their_names(self):
        for verdict in (
            verdicts.NotRun(code="a"),
            verdicts.MayHaveRun(code="a"),
            verdicts.Ran(code="a"),
        ):
            name = verdicts.name_verdict(verdict)
            self.assertEqual(verdicts.make_verdict(name, code="a"), verdict)

    def test_unknown_name_proves_nothing(self):
        self.assertEqual(
            verdicts.make_verdict("maybe", code="a"),
            verdicts.MayHaveRun(code="a"),
        )

    def test_only_not_run_allows_a_retry_of_a_non_idempotent_call(self):
        table = (
            (verdicts.NotRun(code="a"), True),
            (verdicts.MayHaveRun(code="a"), False),
            (verdicts.Ran(code="a"), False),
        )
        for verdict, expected in table:
            self.assertEqual(
                verdicts.is_safe_to_retry(verdict, repeatable=False), expected
            )
