"""Replies of a sidecar kernel, and which attempts have ended."""

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
    """Collects the effects of an event and remembers ended attempts.

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
        """Returns and clears the collected effects."""
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
        """Notifies a gateway that an attempt ended without a result."""
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
        """Notifies a hold's gateway that its attempt ended without a result."""
        self.fail(hold.attempt_id, hold.request_id, verdict=verdict, code=code)

    def send_reserved(self, hold: _holds.Hold) -> None:
        """Notifies a hold's gateway that its memory is reserved."""
        self.send(
            hold.attempt_id,
            messages.Reserved(
                request_id=hold.request_id, attempt=hold.attempt_id.attempt
            ),
        )

    def send_pieces(self, hold: _holds.Hold, offset: int) -> None:
        """Sends a hold's tokens from an offset on to its gateway."""
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
        """Sends a hold's new gateway the former attempt and the progress."""
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
        """Notifies a hold's gateway that the answer is complete."""
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
        """Notifies a gateway that one of its attempts has no hold here."""
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
        """Refuses an attempt, and any later copy of the message too."""
        _LOG.info(
            "sidecar %s: request %s: refused %s. Reason: %s.",
            self.name,
            message.request_id,
            type(message).__name__,
            code,
        )
        # A duplicate message of an ended attempt says nothing about whether
        # the first copy has run.
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
        """Records that an attempt has ended and must not start again."""
        self._ended[attempt_id] = None
        if len(self._ended) > _MAX_ENDED_ATTEMPTS:
            self._ended.popitem(last=False)

    def has_ended(self, attempt_id: _base.AttemptId) -> bool:
        """Returns whether an attempt is known to have ended."""
        return attempt_id in self._ended
