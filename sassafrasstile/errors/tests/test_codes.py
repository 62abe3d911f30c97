import pathlib
import unittest

from sassafrasstile import errors

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "errors.md"


class CodeTest(unittest.TestCase):
    """Callers and operators can look each code up."""

    def test_each_code_has_a_row(self):
        first_cells = [
            line.split("|")[1]
            for line in _PAGE.read_text().splitlines()
            if line.startswith("| ")
        ]
        for code in errors.Code:
            with self.subTest(code=code):
                rows = [cell for cell in first_cells if f"`{code}`" in cell]
                self.assertEqual(len(rows), 1)
