"""Shares what calls to the store show among the gateways."""

from collections.abc import Mapping

from sassafrasstile import peers
from sassafrasstile import stores

# So many gateways watch a topic for all; two, so that one may be lost.
_WATCHERS = 2
# A report may have been on its way for so long.
_TRANSIT_S = 0.05


class TopicSharing:
    """Lets a few gateways watch the store for all of them.

    Args:
        reactor: The reactor.
        name: This gateway's name.
    """

    def __init__(self, *, reactor, name: str):
        self._reactor = reactor
        self._name = name
        self._followers: dict[str, stores.Follower] = {}
        self._channel: peers.PeerChannel | None = None
        self._told: dict[str, stores.TopicEnd | None] = {}

    def connect(
        self,
        *,
        channel: peers.PeerChannel,
        followers: Mapping[str, stores.Follower],
    ) -> None:
        """Sets what is shared, and over which channel.

        Args:
            channel: Where the others are told, and heard of.
            followers: The followers by topic.
        """
        self._channel = channel
        self._followers = dict(followers)

    def is_watcher(self) -> bool:
        """Says whether this gateway is among those that watch."""
        names = sorted([self._name, *self._channel.list_live()])
        return self._name in names[:_WATCHERS]

    def read(self) -> dict[str, peers.TopicEndReport]:
        """Returns where topics ended, by this gateway's own calls."""
        now = self._reactor.seconds()
        return {
            topic: peers.TopicEndReport(
                next_offset=follower.end.next_offset,
                age_s=max(0.0, now - follower.end.known_at),
            )
            for topic, follower in self._followers.items()
            if follower.end is not None
        }

    def tell(self) -> None:
        """Tells the others what a call has just shown, if that is news."""
        ends = {
            topic: follower.end for topic, follower in self._followers.items()
        }
        if ends != self._told:
            self._told = ends
            self._channel.announce_topics()

    def note(self, topics: Mapping[str, peers.TopicEndReport]) -> None:
        """Notes what another gateway's calls have shown."""
        now = self._reactor.seconds()
        for topic, view in topics.items():
            follower = self._followers.get(topic)
            if follower is not None:
                end = stores.TopicEnd(
                    next_offset=view.next_offset,
                    known_at=now - view.age_s - _TRANSIT_S,
                )
                follower.record_reported_end(end)

    def doubt(self) -> None:
        """Looks at the store at once, whatever others say.

        After this process stood still, old reports may still arrive.
        """
        for follower in self._followers.values():
            follower.mark_stale()
