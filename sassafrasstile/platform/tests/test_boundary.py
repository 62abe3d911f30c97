import ast
import pathlib
import unittest

from sassafrasstile.platform import _names

_PACKAGE = pathlib.Path(__file__).parent.parent.parent
# Names that are standard HTTP headers or also used by the project itself.
_COMMON = {
    "authorization",
    "config",
    "last-event-id",
    "prefill",
    "retry-after",
    "token",
}
_ALLOWED = (
    "platform/",
    "testing/_platform_site.py",
    "standins/_platform_",
    "faultsoak/",
)


def _read_names():
    """Returns the platform's names from the table in _names."""
    names = set()
    for key, value in vars(_names).items():
        if not key.isupper():
            continue
        values = value if isinstance(value, frozenset) else (value,)
        for item in values:
            text = item.decode() if isinstance(item, bytes) else item
            names.add(text.lower())
    return names - _COMMON


def _list_modules():
    for path in sorted(_PACKAGE.rglob("*.py")):
        name = path.relative_to(_PACKAGE).as_posix()
        if "/tests/" in name or name.startswith(_ALLOWED):
            continue
        yield name, ast.parse(path.read_text())


class BoundaryTest(unittest.TestCase):
    """Only the platform package uses the platform's names."""

    def test_no_other_module_uses_the_platform_s_names(self):
        names = _read_names()
        self.assertGreater(len(names), 15)
        for module, tree in _list_modules():
            for node in ast.walk(tree):
                value = getattr(node, "value", None)
                if not isinstance(node, ast.Constant):
                    continue
                if isinstance(value, bytes):
                    value = value.decode("latin-1")
                if isinstance(value, str):
                    self.assertNotIn(value.lower(), names, module)

    def test_no_other_module_imports_the_package(self):
        for module, tree in _list_modules():
            for node in ast.walk(tree):
                if isinstance(node, ast.ImportFrom):
                    imported = [
                        f"{node.module}.{alias.name}" for alias in node.names
                    ]
                elif isinstance(node, ast.Import):
                    imported = [alias.name for alias in node.names]
                else:
                    continue
                for name in imported:
                    self.assertFalse(
                        name.startswith("sassafrasstile.platform"), module
                    )
