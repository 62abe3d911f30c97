"""Shares the end offsets of store topics among the gateways."""

from collections.abc import Mapping

from sassafrasstile import peers
from sassafrasstile import stores

# Number of gateways that watch the topics for all; two, so that one may fail.
_WATCHER_COUNT = 2
# Maximum network delay assumed for a report from a peer.
_MAX_TRANSIT_S = 0.05


class TopicSharing:
    """Lets a few gateways watch the store for all of them.

    The watchers announce to the others where topics end, so that those call
    the store less often. Whoever reads new records passes them on, so that most
    gateways needn't read them, and those that can't reach the store get them.

    Args:
        reactor: The reactor.
        name: This gateway's name.
    """

    def __init__(self, *, reactor, name: str):
        self._reactor = reactor
        self._name = name
        self._followers: dict[str, stores.Follower] = {}
        self._channel: peers.PeerChannel | None = None
        self._announced: dict[str, stores.TopicEnd | None] = {}

    def connect(
        self,
        *,
        channel: peers.PeerChannel,
        followers: Mapping[str, stores.Follower],
    ) -> None:
        """Sets the followers and the channel to the other gateways.

        Args:
            channel: Sends to and receives from the other gateways.
            followers: This gateway's followers by topic.
        """
        self._channel = channel
        self._followers = dict(followers)

    def is_watcher(self) -> bool:
        """Returns whether this gateway is one of the watchers."""
        names = sorted([self._name, *self._channel.list_live()])
        return self._name in names[:_WATCHER_COUNT]

    def read_ages(self) -> dict[str, peers.TopicEndReport]:
        """Returns the topic ends that this gateway's own calls returned."""
        now = self._reactor.seconds()
        return {
            topic: peers.TopicEndReport(
                next_offset=follower.end.next_offset,
                age_s=max(0.0, now - follower.end.known_at),
                epoch=follower.end.epoch,
            )
            for topic, follower in self._followers.items()
            if follower.end is not None
        }

    def announce(self) -> None:
        """Announces the topic ends to the peers if they have changed.

        Those of a gateway that isn't a watcher go with its next report.
        """
        if not self.is_watcher():
            return
        ends = {
            topic: follower.end for topic, follower in self._followers.items()
        }
        if ends != self._announced:
            self._announced = ends
            self._channel.announce_topics()

    def relay(self, topic: str, offset: int, page: stores.ChangePage) -> None:
        """Passes records that this gateway has read on to the others.

        Args:
            topic: The topic.
            offset: The offset of the page's first record.
            page: The records.
        """
        # Each record is a page of its own, so that a large one keeps no other
        # back.
        for change in page.changes:
            self._channel.send_page(
                peers.TopicPage(
                    topic=topic,
                    offset=offset,
                    next_offset=change.offset + 1,
                    records=(
                        peers.TopicRecord(
                            key=change.key,
                            value=change.value,
                            offset=change.offset,
                        ),
                    ),
                    epoch=page.epoch,
                )
            )
            offset = change.offset + 1

    def apply_page(self, page: peers.TopicPage) -> None:
        """Applies records that another gateway passes on."""
        follower = self._followers.get(page.topic)
        if follower is None:
            return
        changes = tuple(
            stores.Change(
                key=record.key, value=record.value, offset=record.offset
            )
            for record in page.records
        )
        follower.apply_relayed_page(
            page.offset,
            stores.ChangePage(
                changes=changes,
                next_offset=page.next_offset,
                epoch=page.epoch,
            ),
        )

    def update(self, topics: Mapping[str, peers.TopicEndReport]) -> None:
        """Updates the followers with topic ends that a peer announced."""
        now = self._reactor.seconds()
        for topic, age in topics.items():
            follower = self._followers.get(topic)
            if follower is not None:
                end = stores.TopicEnd(
                    next_offset=age.next_offset,
                    known_at=now - age.age_s - _MAX_TRANSIT_S,
                    epoch=age.epoch,
                )
                follower.record_reported_end(end)

    def mark_stale(self) -> None:
        """Makes each follower call the store immediately.

        After this process was suspended, outdated reports may still arrive,
        so reports from peers can't replace a call.
        """
        for follower in self._followers.values():
            follower.mark_stale()
