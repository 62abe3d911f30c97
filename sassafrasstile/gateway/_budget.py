"""The retry budget: a share of recent requests."""


class RetryBudget:
    """Allows retries in proportion to requests, so that retries can't storm.

    Args:
        share: Retries a request.
        reserve: The most that may be saved up, and the budget at the start.

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
        """Notes a new request."""
        self._balance = min(self.reserve, self._balance + self.share)

    def spend(self) -> bool:
        """Takes one retry from the budget.

        Returns:
            False when the budget is spent; then nothing is taken.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
