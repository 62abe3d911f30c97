"""Invariants of the gateway kernel, checked on every effect."""

import dataclasses

from sassafrasstile import errors
from sassafrasstile.gateway import _base


@dataclasses.dataclass(kw_only=True)
class _Open:
    """One request that may still be written to.

    Attributes:
        next_offset: The only offset at which the next token may be written,
            or None before the first one.
    """

    next_offset: int | None = None


class AnswerLedger:
    """Checks that each request gets its tokens once and ends once.

    Args:
        name: The gateway's name, for messages.
    """

    def __init__(self, *, name: str):
        self.name = name
        self._open: dict[str, _Open] = {}

    def open(self, request_id: str) -> None:
        """Notes that a request may be answered, from any offset."""
        self._open[request_id] = _Open()

    def close(self, request_id: str) -> None:
        """Notes that a request's caller has gone."""
        self._open.pop(request_id, None)

    def check(self, effect: _base.Effect) -> None:
        """Checks an effect before it leaves the kernel.

        Args:
            effect: The effect.

        Raises:
            errors.InvariantError: `one_answer` when a request that isn't
                open is answered; `tokens_in_order` when a token is skipped
                or written again.
        """
        match effect:
            case _base.Send() | _base.Reconnect():
                return
            case _base.Deliver():
                self._check_tokens(effect)
            case _:
                self._find(effect.request_id)
                self.close(effect.request_id)

    def _check_tokens(self, effect: _base.Deliver) -> None:
        known = self._find(effect.request_id)
        expected = known.next_offset
        if expected is not None and effect.offset != expected:
            raise errors.InvariantError(
                name="tokens_in_order",
                detail=(
                    f"{self.name} writes {effect.request_id} at "
                    f"{effect.offset}, not at {expected}"
                ),
            )
        known.next_offset = effect.offset + len(effect.texts)

    def _find(self, request_id: str) -> _Open:
        known = self._open.get(request_id)
        if known is None:
            raise errors.InvariantError(
                name="one_answer",
                detail=f"{self.name} answers {request_id}, which isn't open",
            )
        return known
