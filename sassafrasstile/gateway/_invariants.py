"""Invariants of the gateway kernel, checked on every effect."""

import dataclasses

from sassafrasstile import errors
from sassafrasstile.gateway import _base


@dataclasses.dataclass(kw_only=True)
class _OpenRequest:
    """A request whose answer is still open.

    Attributes:
        next_offset: The offset that the next delivery must have, or None
            before the first one.
    """

    next_offset: int | None = None


class AnswerChecker:
    """Checks that each request gets each token once and one final answer.

    Args:
        name: The gateway's name, for error messages.
    """

    def __init__(self, *, name: str):
        self.name = name
        self._open: dict[str, _OpenRequest] = {}

    def open(self, request_id: str) -> None:
        """Starts checking a request; its answer may start at any offset."""
        self._open[request_id] = _OpenRequest()

    def close(self, request_id: str) -> None:
        """Stops checking a request that ended or whose caller disconnected."""
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
                self._require_open(effect.request_id)
                self.close(effect.request_id)

    def _check_tokens(self, effect: _base.Deliver) -> None:
        known = self._require_open(effect.request_id)
        expected = known.next_offset
        if expected is not None and effect.offset != expected:
            raise errors.InvariantError(
                name="tokens_in_order",
                detail=(
                    f"{self.name} wrote tokens of {effect.request_id} at "
                    f"offset {effect.offset}, expected {expected}"
                ),
            )
        known.next_offset = effect.offset + len(effect.texts)

    def _require_open(self, request_id: str) -> _OpenRequest:
        known = self._open.get(request_id)
        if known is None:
            raise errors.InvariantError(
                name="one_answer",
                detail=f"{self.name} answered {request_id}, which is not open",
            )
        return known
