"""Labels of metrics whose values aren't known beforehand."""

_MAX_VALUES = 100
# Stands for an empty value.
NONE = "none"
# Stands for each value beyond the bound.
OTHER = "other"


class BoundedLabels:
    """Bounds the number of different values of a label.

    Each value of a label keeps a counter of its own for good, so that those
    that come later share one.

    >>> labels = BoundedLabels(max_values=2)
    >>> [labels.choose(item) for item in ("a", "", "b", "c", "a")]
    ['a', 'none', 'b', 'other', 'a']

    Args:
        max_values: The number of values that are told apart.
    """

    def __init__(self, *, max_values: int = _MAX_VALUES):
        self._max_values = max_values
        self._known: set[str] = set()

    def choose(self, value: str) -> str:
        """Returns the label to use for a value."""
        if not value:
            return NONE
        if value in self._known:
            return value
        if len(self._known) >= self._max_values:
            return OTHER
        self._known.add(value)
        return value
