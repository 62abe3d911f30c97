"""Finds where a stream began by its prompt, if all gateways vouch for it."""

from collections.abc import Sequence
import itertools

from sassafrasstile import peers
from sassafrasstile.streams import _base
from sassafrasstile.streams import _codec
from sassafrasstile.streams import _prompt_registry

# With more others than this, none is asked.
_MAX_ASKED = 16
# An origin is kept for this long after its deadline, for late callers.
_LIFETIME_MARGIN_S = 5.0
# Gateways answer one after the other, while time passes.
_ANSWER_SPREAD_S = 0.5
_US_PER_S = 1_000_000


class PromptDirectory:
    """Finds the origin of a stream whose caller names no attempt.

    One prompt may begin several streams: a caller gives a first attempt up and
    begins anew, a session repeats its last part, two callers send the same. So
    an origin that is known proves nothing while another one may exist. Each
    gateway remembers the prompts of the streams that it began itself and is
    asked when one is looked for. The origin counts only if every gateway
    answers, remembers the whole time, and knows no other.

    Args:
        reactor: The reactor.
        messenger: Sends to the other gateways.
    """

    def __init__(self, *, reactor, messenger: peers.Messenger):
        self._reactor = reactor
        self._messenger = messenger
        self._registry = _prompt_registry.PromptRegistry(now=reactor.seconds())
        self._questions: peers.QuestionTable[_base.PromptView] = (
            peers.QuestionTable(
                reactor=reactor,
                messenger=messenger,
                timeout_s=_base.ANSWER_TIMEOUT_S,
            )
        )
        # Other numbers than those of the process before this one.
        self._numbers = itertools.count(round(reactor.seconds() * _US_PER_S))

    def record(
        self, prompt_id: str, origin: _base.StreamOrigin, *, deadline: float
    ) -> None:
        """Records that a stream of a prompt begins here.

        Call this before the caller can see the first event.

        Args:
            prompt_id: The prompt's id; nothing is recorded if it is empty.
            origin: What the first event comes from.
            deadline: The time in seconds after which the caller won't come
                back.
        """
        if not prompt_id:
            return
        now = self._reactor.seconds()
        self._registry.record(
            _codec.make_key(prompt_id),
            origin,
            now=now,
            lifetime_s=max(0.0, deadline - now) + _LIFETIME_MARGIN_S,
        )

    async def find(self, prompt_id: str) -> _base.Lookup:
        """Finds where the streams of a prompt began."""
        transport = self._messenger.transport
        asked = list(transport.list_zones())
        if not prompt_id:
            return _fail(_base.Obstacle.NO_PROMPT)
        if len(asked) > _MAX_ASKED:
            return _fail(_base.Obstacle.TOO_MANY_GATEWAYS)
        if transport.count_lost():
            return _fail(_base.Obstacle.GATEWAY_MISSING)
        key = _codec.make_key(prompt_id)
        query = _base.PromptQuery(key=key, number=next(self._numbers))
        answers = await self._questions.ask(
            _name_question(key, query.number),
            asked,
            _codec.encode_message(query),
        )
        # What began here while the others were asked counts, too.
        return judge([self._view(key), *answers.values()])

    def answer(self, sender: str, query: _base.PromptQuery) -> None:
        """Tells another gateway what this one knows."""
        message = _base.PromptAnswer(
            key=query.key, number=query.number, view=self._view(query.key)
        )
        self._messenger.send([sender], _codec.encode_message(message))

    def receive_answer(self, sender: str, answer: _base.PromptAnswer) -> None:
        """Handles another gateway's answer."""
        question = _name_question(answer.key, answer.number)
        self._questions.receive(sender, question, answer.view)

    def _view(self, key: str) -> _base.PromptView:
        now = self._reactor.seconds()
        transport = self._messenger.transport
        origins, age_s = self._registry.find(key, now=now)
        return _base.PromptView(
            origins=origins,
            age_s=age_s,
            memory_s=self._registry.measure_memory_s(now),
            gateway_count=1
            + len(transport.list_zones())
            + transport.count_lost(),
        )


def _name_question(key: str, number: int) -> str:
    return f"{key}/{number}"


def judge(views: Sequence[_base.PromptView]) -> _base.Lookup:
    """Decides whether a prompt has one origin.

    Args:
        views: What this gateway knows, and the answers of others.
    """
    origins = {origin for view in views for origin in view.origins}
    if len(origins) > 1:
        return _fail(_base.Obstacle.SEVERAL_ORIGINS)
    if any(view.gateway_count > len(views) for view in views):
        return _fail(_base.Obstacle.GATEWAY_MISSING)
    if not origins:
        return _fail(_base.Obstacle.NEVER_SEEN)
    age_s = max(view.age_s for view in views)
    if any(view.memory_s < age_s + _ANSWER_SPREAD_S for view in views):
        return _fail(_base.Obstacle.MEMORY_TOO_SHORT)
    return _base.Lookup(source=_base.Source.PROMPT, origin=origins.pop())


def _fail(obstacle: _base.Obstacle) -> _base.Lookup:
    return _base.Lookup(source=_base.Source.NONE, obstacle=obstacle)
