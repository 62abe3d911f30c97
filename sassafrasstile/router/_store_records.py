"""The configuration and the endpoints, as the store's records describe them."""

from collections.abc import Callable
import functools
import logging
import random

from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import stores
from sassafrasstile import streams
from sassafrasstile import workspaces
from sassafrasstile.router import _record_decoder
from sassafrasstile.router import _topics

_LOG = logging.getLogger("sassafrasstile.router")


class StoreRecords:
    """Follows the topics of the configuration and of the endpoints.

    Args:
        reactor: The reactor.
        store: The store.
        epochs: Announces each restore of the store.
        record_decoder: Decodes the records and names the topics.
        topic_sharing: Shares what is read with the other gateways.
        max_lag_s: The time within which a record must be in force, in seconds.
        generator: The random number generator.
        active_configuration: Receives each configuration.
        roster: Receives each record of an endpoint.
        versions: Is told when all endpoints were loaded.
        on_configuration: Called with each configuration that is in force now.
        on_progress: Called when a record of the configuration was read, and
            when all endpoints were.
        belief_exchange: Is told of each call that confirms the configuration.

    Attributes:
        followers: The followers by topic.
    """

    def __init__(
        self,
        *,
        reactor,
        store: stores.Store,
        epochs: stores.EpochMonitor,
        record_decoder: _record_decoder.RecordDecoder,
        topic_sharing: _topics.TopicSharing,
        max_lag_s: float,
        generator: random.Random,
        active_configuration: routes.ActiveConfiguration,
        roster: membership.Roster,
        versions: streams.VersionHistory,
        on_configuration: Callable[[routes.Configuration], None],
        on_progress: Callable[[], None],
        belief_exchange: workspaces.BeliefExchange,
    ):
        self._reactor = reactor
        self._record_decoder = record_decoder
        self._topic_sharing = topic_sharing
        self._active_configuration = active_configuration
        self._roster = roster
        self._versions = versions
        self._on_configuration = on_configuration
        self._on_progress = on_progress
        # Keys of the configuration's topic whose newest record is rejected.
        self._rejected: set[str] = set()
        make_follower = functools.partial(
            stores.Follower,
            reactor=reactor,
            store=store,
            max_lag_s=max_lag_s,
            generator=generator,
            is_watcher=topic_sharing.is_watcher,
        )
        configuration_topic = record_decoder.configuration_topic
        membership_topic = record_decoder.membership_topic
        self.followers = {
            configuration_topic: make_follower(
                topic=configuration_topic,
                on_change=self._apply_configuration,
                on_loaded=lambda: None,
                on_outage=lambda: None,
                on_contact=topic_sharing.announce,
                on_page=functools.partial(
                    topic_sharing.relay, configuration_topic
                ),
                read_time_s=workspaces.read_boot_time_s,
                on_confirmed=belief_exchange.record_call,
                read_max_wait_s=lambda: belief_exchange.max_wait_s,
            ),
            membership_topic: make_follower(
                topic=membership_topic,
                on_change=self._apply_endpoint,
                on_loaded=self._mark_endpoints_loaded,
                on_outage=roster.record_outage,
                on_contact=self._record_contact,
                on_restore=self._record_restore,
                on_page=functools.partial(
                    topic_sharing.relay, membership_topic
                ),
            ),
        }
        for follower in self.followers.values():
            epochs.subscribe(follower.start_epoch)

    def has_rejected_configuration(self) -> bool:
        """Returns whether a newer configuration can't be read here.

        It may be one of another software version, and withdraw keys.
        """
        return bool(self._rejected)

    def _now(self) -> float:
        return self._reactor.seconds()

    def _apply_configuration(self, change: stores.Change) -> None:
        try:
            configuration = self._record_decoder.decode_configuration(change)
        except errors.Error as reason:
            _LOG.error(
                "config: record rejected: %s",
                reason,
                extra={"key": change.key, "offset": change.offset},
            )
            self._rejected.add(change.key)
            return
        self._rejected.discard(change.key)
        if (
            configuration is not None
            and self._active_configuration.apply_if_newer(configuration)
        ):
            self._on_configuration(configuration)
        self._on_progress()

    def _apply_endpoint(self, change: stores.Change) -> None:
        try:
            record = self._record_decoder.decode_endpoint(change)
        except errors.Error as reason:
            _LOG.warning(
                "membership: record rejected: %s",
                reason,
                extra={"key": change.key, "offset": change.offset},
            )
            return
        if record is None:
            self._roster.remove(change.key, self._now())
        else:
            self._roster.apply(record)

    def _mark_endpoints_loaded(self) -> None:
        self._roster.mark_loaded()
        self._versions.record_loaded(now=self._now())
        self._on_progress()

    def _record_contact(self) -> None:
        self._roster.record_contact(self._now())
        self._topic_sharing.announce()

    def _record_restore(self) -> None:
        self._roster.record_restore(self._now())
