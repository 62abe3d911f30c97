"""Questions among gateways about amounts that they share."""

import collections
from collections.abc import Iterator
import itertools
import logging
from typing import Protocol

from sassafrasstile import errors
from sassafrasstile import limits
from sassafrasstile import peers
from sassafrasstile.permits import _allocator
from sassafrasstile.permits import _base
from sassafrasstile.permits import _codec

_LOG = logging.getLogger("sassafrasstile.permits")
_ANSWER_TIMEOUT_S = 0.06
# A question is sent again after this time, since any datagram may be lost.
_REPEAT_S = 0.02
_MAX_DATAGRAMS_PER_S = 800.0
_MAX_LOG_LINES_PER_S = 5.0
# Answers that may be asked for again, and questions given up whose answers may
# still arrive.
_MAX_REMEMBERED_ANSWERS = 512
_MAX_REMEMBERED_RANKS = 4096
_US_PER_S = 1_000_000


class LimitSource(Protocol):
    """Knows the limits of one kind of keys."""

    def apply(self, sender: str, news: _base.News) -> None:
        """Learns what another gateway knows about a limit."""

    def describe(self, key: str) -> _base.News:
        """Returns what is known about a key's limit."""

    def allocate(
        self, request: _base.PermitRequest
    ) -> _base.PermitDecision | None:
        """Hands out an amount; returns None for a key that isn't known."""

    def take_back(self, message: _base.PermitReturn) -> None:
        """Takes back what another gateway hasn't used."""

    def receive_late(self, sender: str, answer: _base.PermitAnswer) -> None:
        """Handles an answer that came after its question was given up."""


class PermitExchange(peers.PeerProtocol):
    """Asks the gateway that hands out a key's amounts, and answers others.

    Which one that is follows from the key and the gateways that are heard of,
    without a message.

    Args:
        reactor: The reactor.
        name: This gateway's name.
        transport: Sends to the other gateways.

    Attributes:
        name: This gateway's name.
        allocator: Hands out what this gateway is asked for.
        log_bucket: Bounds the log lines about permits.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        transport: peers.Transport | None = None,
    ):
        self._reactor = reactor
        self.name = name
        messenger = peers.Messenger(
            reactor=reactor,
            max_datagrams_per_s=_MAX_DATAGRAMS_PER_S,
            repeat_s=_REPEAT_S,
            transport=transport,
        )
        super().__init__(messenger=messenger)
        self._questions: peers.QuestionTable[_base.PermitDecision] = (
            peers.QuestionTable(
                reactor=reactor,
                messenger=self._messenger,
                timeout_s=_ANSWER_TIMEOUT_S,
            )
        )
        self.allocator = _allocator.PermitAllocator()
        self.log_bucket = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)
        self._sources: dict[type, LimitSource] = {}
        self._answers: collections.OrderedDict[
            tuple[str, int], _base.PermitDecision
        ] = collections.OrderedDict()
        self._given_up: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._ranks: dict[str, list[str]] = {}
        self._ranked_names: list[str] = []
        # Other numbers than those of the process before this one.
        self._numbers: Iterator[int] = itertools.count(
            round(reactor.seconds() * _US_PER_S)
        )

    def add_source(self, kind: type, source: LimitSource) -> None:
        """Sets who knows the limits that one type of news is about."""
        self._sources[kind] = source

    def rank(self, key: str) -> list[str]:
        """Returns the gateways by how readily they hand out a key's amounts."""
        return self._rank(key)

    def _rank(self, key: str) -> list[str]:
        names = [self.name, *self.transport.list_live()]
        if names != self._ranked_names or (
            len(self._ranks) >= _MAX_REMEMBERED_RANKS
        ):
            self._ranks.clear()
            self._ranked_names = names
        rank = self._ranks.get(key)
        if rank is None:
            rank = sorted(
                names, key=lambda name: peers.weigh(key, name), reverse=True
            )
            self._ranks[key] = rank
        return rank

    async def ask(
        self,
        name: str,
        news: _base.News,
        amounts: _base.Amounts = _base.ONE,
    ) -> _base.PermitDecision | None:
        """Asks another gateway; returns None if it doesn't answer in time."""
        number = next(self._numbers)
        request = _base.PermitRequest(number=number, news=news, amounts=amounts)
        answers = await self._questions.ask(
            str(number), [name], _codec.encode_message(request)
        )
        decision = answers.get(name)
        if decision is None:
            _remember(self._given_up, number, None)
            if self.log_bucket.take(1, self._now()):
                _LOG.warning(
                    "permit: gateway %s doesn't answer.",
                    name,
                    extra={"gateway": name, "key": news.key},
                )
        return decision

    def give_back(self, name: str, news: _base.News, amount: float) -> None:
        """Gives back to another gateway what wasn't used."""
        message = _base.PermitReturn(
            number=next(self._numbers), news=news, amount=amount
        )
        self._messenger.send([name], _codec.encode_message(message))

    def receive(self, sender: str, payload: bytes) -> None:
        """Handles a message of another gateway.

        Args:
            sender: The gateway's name.
            payload: The message.
        """
        try:
            message = _codec.decode_message(payload)
        except errors.Error as reason:
            if self.log_bucket.take(1, self._now()):
                _LOG.warning("peers: datagram ignored: %s", reason)
            return
        news = message
        if not isinstance(message, _base.RateNews):
            news = message.news
        source = self._sources.get(type(news))
        if source is None:
            return
        source.apply(sender, news)
        match message:
            case _base.PermitRequest():
                self._answer(sender, message, source)
            case _base.PermitAnswer(number=number, decision=decision):
                self._questions.receive(sender, str(number), decision)
                if number in self._given_up:
                    del self._given_up[number]
                    source.receive_late(sender, message)
            case _base.PermitReturn(number=number):
                if (sender, number) not in self._answers:
                    _remember(
                        self._answers, (sender, number), _base.PermitDecision()
                    )
                    source.take_back(message)

    def _now(self) -> float:
        return self._reactor.seconds()

    def _answer(
        self, sender: str, request: _base.PermitRequest, source: LimitSource
    ) -> None:
        """Answers a permit request, a repeated one as before."""
        question = (sender, request.number)
        decision = self._answers.get(question)
        if decision is None:
            decision = source.allocate(request)
            if decision is None:
                return
            _remember(self._answers, question, decision)
        answer = _base.PermitAnswer(
            number=request.number,
            decision=decision,
            news=source.describe(request.news.key),
        )
        self._messenger.send([sender], _codec.encode_message(answer))


def _remember(memory: collections.OrderedDict, key, value) -> None:
    memory[key] = value
    if len(memory) > _MAX_REMEMBERED_ANSWERS:
        memory.popitem(last=False)
