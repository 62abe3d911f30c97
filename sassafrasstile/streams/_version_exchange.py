"""Learns which software versions there were before this gateway started."""

from collections.abc import Callable
import itertools

from twisted.internet import task

from sassafrasstile import peers
from sassafrasstile.streams import _base
from sassafrasstile.streams import _codec
from sassafrasstile.streams import _versions

_ASK_INTERVAL_S = 1.0
# Others are asked for this long after the list of endpoints was read anew.
_ASK_FOR_S = 10.0
_ASKED_COUNT = 3
# More versions don't fit into a datagram, and leave every origin open.
_MAX_SIGHTINGS = 32
_US_PER_S = 1_000_000


class VersionExchange:
    """Extends the history of versions by what other gateways remember.

    A gateway that has read the list of endpoints anew doesn't know what was in
    it before. One that runs does, if it has read the list without a gap up to
    where it was read here.

    Args:
        reactor: The reactor.
        messenger: Sends to the other gateways.
        history: This gateway's history of versions.
        read_position: Returns how far this gateway has read the list, or None
            before it has.
    """

    def __init__(
        self,
        *,
        reactor,
        messenger: peers.Messenger,
        history: _versions.VersionHistory,
        read_position: Callable[[], _base.ListPosition | None],
    ):
        self._reactor = reactor
        self._messenger = messenger
        self._history = history
        self._read_position = read_position
        # The question asked last, and when the list had been read anew then.
        self._asked: tuple[int, float] | None = None
        # Other numbers than those of the process before this one.
        self._numbers = itertools.count(round(reactor.seconds() * _US_PER_S))
        self._turn = 0
        self._loop = task.LoopingCall(self._ask)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to ask other gateways whenever the list is read anew."""
        self._loop.start(_ASK_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops asking."""
        if self._loop.running:
            self._loop.stop()

    def answer(self, sender: str, query: _base.VersionQuery) -> None:
        """Tells another gateway what this one remembers, if that reaches far.

        Args:
            sender: The gateway's name.
            query: Its question.
        """
        position = self._read_position()
        memory = self._history.describe(now=self._reactor.seconds())
        if position is None or memory is None:
            return
        # Offsets of different epochs can't be compared.
        is_same_epoch = position.epoch == query.position.epoch
        if not is_same_epoch or position.offset < query.position.offset:
            return
        if len(memory.sightings) > _MAX_SIGHTINGS:
            return
        message = _base.VersionAnswer(number=query.number, memory=memory)
        self._messenger.send([sender], _codec.encode_message(message))

    def receive_answer(self, answer: _base.VersionAnswer) -> None:
        """Handles another gateway's answer.

        It proves nothing if the list has been read anew since the question.
        """
        if self._asked == (answer.number, self._history.loaded_at):
            self._history.learn(answer.memory, now=self._reactor.seconds())

    def _ask(self) -> None:
        loaded_at = self._history.loaded_at
        position = self._read_position()
        if loaded_at is None or position is None:
            return
        if self._reactor.seconds() - loaded_at > _ASK_FOR_S:
            return
        names = sorted(self._messenger.transport.list_live())
        first = self._turn * _ASKED_COUNT % max(1, len(names))
        self._turn += 1
        asked = [*names[first:], *names[:first]][:_ASKED_COUNT]
        query = _base.VersionQuery(
            number=next(self._numbers), position=position
        )
        self._asked = (query.number, loaded_at)
        self._messenger.send(asked, _codec.encode_message(query))
