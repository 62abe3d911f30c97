"""Questions to other gateways, and their answers."""

from collections.abc import Callable, Collection
import dataclasses
from typing import Generic, TypeVar

from twisted.internet import defer

from sassafrasstile.peers import _messenger

_Content = TypeVar("_Content")


@dataclasses.dataclass(kw_only=True, eq=False)
class _Question(Generic[_Content]):
    """A question that waits for answers.

    Attributes:
        unanswered: The gateways that haven't answered.
        answers: The answers by gateway.
        is_over: Fires when no further answer is needed.
    """

    unanswered: set[str]
    answers: dict[str, _Content] = dataclasses.field(default_factory=dict)
    is_over: defer.Deferred = dataclasses.field(default_factory=defer.Deferred)


class QuestionTable(Generic[_Content]):
    """Asks other gateways and collects their answers for a short time.

    Args:
        reactor: The reactor.
        messenger: Sends the questions.
        timeout_s: Seconds to wait for the answers.
        is_enough: Returns whether an answer makes the others unnecessary.
    """

    def __init__(
        self,
        *,
        reactor,
        messenger: _messenger.Messenger,
        timeout_s: float,
        is_enough: Callable[[_Content], bool] = lambda _content: False,
    ):
        self._reactor = reactor
        self._messenger = messenger
        self._timeout_s = timeout_s
        self._is_enough = is_enough
        self._questions: dict[str, list[_Question[_Content]]] = {}

    async def ask(
        self, key: str, names: Collection[str], payload: bytes
    ) -> dict[str, _Content]:
        """Asks gateways.

        Args:
            key: The key that the answers carry.
            names: The gateways.
            payload: The question.

        Returns:
            The answers by gateway, without those of gateways that are silent.
        """
        if not names:
            return {}
        question: _Question[_Content] = _Question(unanswered=set(names))
        self._questions.setdefault(key, []).append(question)
        question.is_over.addTimeout(self._timeout_s, self._reactor)
        self._messenger.send_twice(
            names,
            payload,
            list_repeated=lambda: _list_repeated(question),
        )
        try:
            await question.is_over
        except defer.TimeoutError:
            pass
        finally:
            self._questions[key].remove(question)
            if not self._questions[key]:
                del self._questions[key]
        return question.answers

    def receive(self, sender: str, key: str, content: _Content) -> None:
        """Handles an answer; one that nobody waits for is ignored."""
        # The last answer ends its question, which leaves the list.
        for question in list(self._questions.get(key, ())):
            if sender not in question.unanswered:
                continue
            question.unanswered.discard(sender)
            question.answers[sender] = content
            is_over = self._is_enough(content) or not question.unanswered
            if is_over and not question.is_over.called:
                question.is_over.callback(None)


def _list_repeated(question: _Question) -> list[str]:
    return [] if question.is_over.called else sorted(question.unanswered)
