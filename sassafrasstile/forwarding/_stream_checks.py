"""Checks that what an engine sends belongs in its caller's stream."""

from sassafrasstile import errors
from sassafrasstile import web
from sassafrasstile.forwarding import _events

_EVENT_STREAM = b"text/event-stream"
_STATUS_OK = 200


class RunCheck:
    """Checks one run of a stream, head, events and end.

    A run that goes on with a stream has to show that it does before anything
    of it is forwarded. Otherwise the text of an error could get into the
    stream, or an empty answer could end it.

    Args:
        engine_name: The name of the engine.
        head: The head of its answer.
        begun: The head that the caller has received, or None.
        last_event_id: The id of the last event that the caller has received,
            or None if the run begins the stream.
    """

    def __init__(
        self,
        *,
        engine_name: str,
        head: web.ResponseHead,
        begun: web.ResponseHead | None,
        last_event_id: str | None,
    ):
        self._engine_name = engine_name
        self._head = head
        self._begun = begun
        self._resumes_after = last_event_id
        self._has_events = False

    @property
    def _is_continuation(self) -> bool:
        return self._resumes_after is not None

    def check_head(self) -> None:
        """Checks that the answer is of the kind that the caller has begun.

        Raises:
            web.ExchangeError: With BAD_ANSWER.
        """
        media_type = _get_media_type(self._head)
        if self._begun is not None:
            status = self._begun.status
            expected = _get_media_type(self._begun)
        elif self._is_continuation:
            status = self._head.status
            expected = _EVENT_STREAM if media_type else media_type
        else:
            return
        if self._head.status != status or media_type != expected:
            raise self._reject(
                f"status {self._head.status} and media type {media_type!r} "
                f"in a stream with {status} and {expected!r}"
            )

    def check_event(
        self, event: _events.Event, last_event_id: str | None
    ) -> None:
        """Checks that an event follows those that the caller has received.

        Args:
            event: The event.
            last_event_id: The id of the last event forwarded, or None.

        Raises:
            web.ExchangeError: With BAD_ANSWER.
        """
        if event.is_comment:
            return
        if self._is_continuation and not self._has_events:
            is_allowed = _events.goes_on(event, self._resumes_after)
        else:
            is_allowed = _events.may_follow(event, last_event_id)
        if not is_allowed:
            raise self._reject(
                f"event {event.event_id!r} follows {last_event_id!r}; allowed "
                "are higher ids"
            )
        self._has_events = True

    def check_end(self, *, is_within_event: bool) -> None:
        """Checks that the answer ends where its stream may end.

        Without an event, a run ends a stream only if the engine says so: a
        connection that closes would look the same if the engine were lost.

        Args:
            is_within_event: True if the last event is incomplete.

        Raises:
            web.ExchangeError: With ANSWER_CUT.
        """
        if not is_within_event and (self._has_events or self._states_end()):
            return
        raise web.ExchangeError(
            code=errors.Code.ANSWER_CUT,
            detail=f"the answer of {self._engine_name} ended too early",
            was_sent=True,
        )

    def _states_end(self) -> bool:
        """Returns whether an answer without events is the end of a stream."""
        return (
            self._is_continuation
            and self._head.is_delimited
            and self._head.status == _STATUS_OK
            and _get_media_type(self._head) == _EVENT_STREAM
        )

    def _reject(self, detail: str) -> web.ExchangeError:
        return web.ExchangeError(
            code=errors.Code.BAD_ANSWER,
            detail=f"{detail}, from {self._engine_name}",
            was_sent=True,
        )


def _get_media_type(head: web.ResponseHead) -> bytes:
    """Returns the media type without parameters, or no bytes."""
    value = head.get(b"content-type") or b""
    return value.partition(b";")[0].strip().lower()
