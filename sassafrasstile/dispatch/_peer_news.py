"""What other gateways have told lately, each its last news."""

import dataclasses
from typing import Generic, TypeVar

_MAX_PEERS = 1000
_Content = TypeVar("_Content")


@dataclasses.dataclass(frozen=True, kw_only=True)
class News(Generic[_Content]):
    """What a gateway has told.

    Attributes:
        heard_at: When it was heard, in seconds.
        content: What was told.
    """

    heard_at: float
    content: _Content


class PeerNews(Generic[_Content]):
    """The last news of each gateway, forgotten after some time.

    Args:
        max_age_s: Seconds for which news counts.
    """

    def __init__(self, *, max_age_s: float):
        self._max_age_s = max_age_s
        self._news: dict[str, News[_Content]] = {}

    def __bool__(self) -> bool:
        return bool(self._news)

    def set(self, peer: str, content: _Content, now: float) -> None:
        """Keeps a gateway's news in place of its last."""
        self._news.pop(peer, None)
        if len(self._news) >= _MAX_PEERS:
            self._news = {
                name: item
                for name, item in self._news.items()
                if self._is_recent(item, now)
            }
        if len(self._news) < _MAX_PEERS:
            self._news[peer] = News(heard_at=now, content=content)

    def pop(self, peer: str, now: float) -> _Content | None:
        """Removes and returns a gateway's news; None if there is none."""
        item = self._news.pop(peer, None)
        if item is None or not self._is_recent(item, now):
            return None
        return item.content

    def list_recent(self, now: float) -> list[News[_Content]]:
        """Returns all news that still counts."""
        return [
            item for item in self._news.values() if self._is_recent(item, now)
        ]

    def _is_recent(self, item: News[_Content], now: float) -> bool:
        return now - item.heard_at <= self._max_age_s
