"""Assembly of an answer from pieces that arrive in any order."""


class AnswerAssembler:
    """Collects tokens by offset and yields each one once, in order.

    Args:
        delivered: Tokens that the caller already has.

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
        self._out_of_order: dict[int, str] = {}
        self._total_tokens: int | None = None
        self.reason = ""

    def add(self, offset: int, texts: tuple[str, ...]) -> tuple[str, ...]:
        """Adds tokens in whatever order they arrive.

        Args:
            offset: The index of the first token in the complete answer.
            texts: The tokens.

        Returns:
            The tokens that can now be delivered, in order. The first one
            follows the last token that was returned before.
        """
        for index, text in enumerate(texts, start=offset):
            if index >= len(self.texts):
                self._out_of_order[index] = text
        ready = []
        while len(self.texts) in self._out_of_order:
            text = self._out_of_order.pop(len(self.texts))
            self.texts.append(text)
            ready.append(text)
        return tuple(ready)

    def record_end(self, total: int, reason: str) -> None:
        """Records the complete answer's length and why it ended.

        Args:
            total: The number of tokens in the complete answer.
            reason: `stop` or `length`.
        """
        self._total_tokens = total
        self.reason = reason

    def discard_undelivered(self) -> None:
        """Discards tokens beyond a gap, before another attempt."""
        self._out_of_order.clear()
        self._total_tokens = None

    def is_complete(self) -> bool:
        """Returns whether every token has been delivered."""
        return (
            self._total_tokens is not None
            and len(self.texts) >= self._total_tokens
        )
