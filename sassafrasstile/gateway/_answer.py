"""Puts the pieces of one answer in order."""


class AnswerAssembler:
    """Collects tokens by offset and yields each one once, in order.

    Args:
        delivered: Tokens that the caller has already.

    >>> answer = AnswerAssembler()
    >>> answer.add(1, ("b",))
    ()
    >>> answer.add(0, ("a",))
    ('a', 'b')
    >>> answer.add(0, ("a",))
    ()
    """

    def __init__(self, *, delivered: tuple[str, ...] = ()):
        self.texts: list[str] = list(delivered)
        self._early: dict[int, str] = {}
        self._total: int | None = None
        self.reason = ""

    def add(self, offset: int, texts: tuple[str, ...]) -> tuple[str, ...]:
        """Adds tokens in whatever order they arrive.

        Args:
            offset: The index of the first one in the whole answer.
            texts: The tokens.

        Returns:
            The tokens that can now be delivered, in order. They start at
            the number of tokens delivered before.
        """
        for index, text in enumerate(texts, start=offset):
            if index >= len(self.texts):
                self._early[index] = text
        ready = []
        while len(self.texts) in self._early:
            text = self._early.pop(len(self.texts))
            self.texts.append(text)
            ready.append(text)
        return tuple(ready)

    def end(self, total: int, reason: str) -> None:
        """Notes the whole answer's length and why it ended.

        Args:
            total: Tokens in the whole answer.
            reason: `stop` or `length`.
        """
        self._total = total
        self.reason = reason

    def discard_undelivered(self) -> None:
        """Forgets what can't be delivered, before another attempt."""
        self._early.clear()
        self._total = None

    def is_complete(self) -> bool:
        """Says whether every token has been delivered."""
        return self._total is not None and len(self.texts) >= self._total
