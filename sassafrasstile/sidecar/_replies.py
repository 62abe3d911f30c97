"""What a sidecar kernel tells gateways, and which attempts have ended."""

import collections
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.sidecar import _base
from sassafrasstile.sidecar import _holds

_LOG = logging.getLogger("sassafrasstile.sidecar")
_MAX_ENDED_ATTEMPTS = 8192


class Replies:
    """Collects the effects of a kernel's turn.

    Args:
        name: The endpoint's name.
    """

    def __init__(self, *, name: str):
        self.name = name
        self._effects: list[_base.Effect] = []
        self._ended: collections.OrderedDict[_base.AttemptId, None] = (
            collections.OrderedDict()
        )

    def add(self, effect: _base.Effect) -> None:
        """Adds an effect."""
        self._effects.append(effect)

    def take(self) -> list[_base.Effect]:
        """Returns the effects so far and starts anew."""
        effects = self._effects
        self._effects = []
        return effects

    def send(
        self, attempt_id: _base.AttemptId, message: messages.Message
    ) -> None:
        """Sends a message to the gateway of an attempt."""
        self.add(_base.Send(peer=attempt_id.gateway, message=message))

    def fail(
        self,
        attempt_id: _base.AttemptId,
        request_id: str,
        *,
        verdict: verdicts.VerdictName,
        code: str,
        key_owner: str = "",
    ) -> None:
        """Tells a gateway that an attempt is over without a result."""
        self.send(
            attempt_id,
            messages.Failed(
                request_id=request_id,
                attempt=attempt_id.attempt,
                verdict=verdict,
                code=code,
                owner=key_owner,
            ),
        )

    def fail_hold(
        self, hold: _holds.Hold, *, verdict: verdicts.VerdictName, code: str
    ) -> None:
        """Tells a hold's gateway that its attempt is over."""
        self.fail(hold.attempt_id, hold.request_id, verdict=verdict, code=code)

    def send_reserved(self, hold: _holds.Hold) -> None:
        """Tells a hold's gateway that it has its memory."""
        self.send(
            hold.attempt_id,
            messages.Reserved(
                request_id=hold.request_id, attempt=hold.attempt_id.attempt
            ),
        )

    def send_pieces(self, hold: _holds.Hold, offset: int) -> None:
        """Sends a hold's tokens from an offset on."""
        self.send(
            hold.attempt_id,
            messages.Pieces(
                request_id=hold.request_id,
                attempt=hold.attempt_id.attempt,
                offset=offset,
                texts=tuple(hold.texts[offset:]),
            ),
        )

    def send_resumed(self, hold: _holds.Hold, *, previous: int) -> None:
        """Tells a hold's new gateway how far the answer has come."""
        self.send(
            hold.attempt_id,
            messages.Resumed(
                request_id=hold.request_id,
                attempt=hold.attempt_id.attempt,
                previous=previous,
                tokens=len(hold.texts),
            ),
        )

    def send_finished(self, hold: _holds.Hold) -> None:
        """Tells a hold's gateway that the answer is whole."""
        self.send(
            hold.attempt_id,
            messages.Finished(
                request_id=hold.request_id,
                attempt=hold.attempt_id.attempt,
                tokens=hold.tokens,
                reason=hold.reason,
            ),
        )

    def report_unknown(self, attempt_id: _base.AttemptId) -> None:
        """Tells a gateway that nothing is known of an attempt of its own."""
        self.fail(
            attempt_id,
            "",
            verdict=verdicts.VerdictName.MAY_HAVE_RUN,
            code=errors.Code.UNKNOWN_HOLD,
        )

    def refuse(
        self,
        attempt_id: _base.AttemptId,
        message: messages.Attempted,
        code: errors.Code,
        *,
        key_owner: str = "",
    ) -> None:
        """Refuses an attempt for good, should a copy of it come later."""
        _LOG.info(
            "sidecar %s: request %s: refuses %s. Reason: %s.",
            self.name,
            message.request_id,
            type(message).__name__,
            code,
        )
        # A doubled message of an attempt that has ended proves nothing of
        # what its first copy did.
        verdict = verdicts.VerdictName.NOT_RUN
        if self.has_ended(attempt_id):
            verdict = verdicts.VerdictName.MAY_HAVE_RUN
        self.record_ended(attempt_id)
        self.fail(
            attempt_id,
            message.request_id,
            verdict=verdict,
            code=code,
            key_owner=key_owner,
        )

    def record_ended(self, attempt_id: _base.AttemptId) -> None:
        """Notes that an attempt must never start again."""
        self._ended[attempt_id] = None
        if len(self._ended) > _MAX_ENDED_ATTEMPTS:
            self._ended.popitem(last=False)

    def has_ended(self, attempt_id: _base.AttemptId) -> bool:
        """Says whether an attempt is over, as far as is remembered."""
        return attempt_id in self._ended
