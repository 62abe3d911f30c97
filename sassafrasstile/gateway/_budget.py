"""Retry budget: limits retries to a share of recent requests."""


class RetryBudget:
    """Limits retries to a share of requests, to prevent retry storms.

    Args:
        share: Retries that each new request adds to the budget.
        reserve: The budget at the start, and its maximum.

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.spend()
    True
    """

    def __init__(self, *, share: float, reserve: float):
        self.share = share
        self.reserve = reserve
        self._balance = float(reserve)

    def earn(self) -> None:
        """Adds the share of a new request to the budget."""
        self._balance = min(self.reserve, self._balance + self.share)

    def has_retry(self) -> bool:
        """Returns whether a retry could be taken now."""
        return self._balance >= 1

    def refund(self) -> None:
        """Gives back a retry that was refused before it ran."""
        self._balance = min(self.reserve, self._balance + 1)

    def spend(self) -> bool:
        """Takes one retry from the budget.

        Returns:
            False when less than one retry is left; then nothing is taken.
        """
        if not self.has_retry():
            return False
        self._balance -= 1
        return True
