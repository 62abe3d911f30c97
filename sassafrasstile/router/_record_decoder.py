"""The interface of decoders for the store's records."""

import abc

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import stores


class RecordDecoder(abc.ABC):
    """Decodes the store's configuration and endpoint records.

    Attributes:
        configuration_topic: The topic that holds the configuration.
        membership_topic: The topic that holds the endpoint records.
        peer_topic: The topic that holds the addresses of the gateways.
        lease_topic: The topic that names the gateway that may order role
            changes.
    """

    configuration_topic: str
    membership_topic: str
    peer_topic: str
    lease_topic: str

    @abc.abstractmethod
    def decode_configuration(
        self, change: stores.Change
    ) -> routes.Configuration | None:
        """Returns the configuration in a record, or None if it has none.

        Raises:
            errors.ConfigurationError: The configuration isn't valid.
        """

    @abc.abstractmethod
    def decode_endpoint(
        self, change: stores.Change
    ) -> membership.EndpointRecord | None:
        """Returns the endpoint in a record, or None if it was removed.

        Raises:
            errors.Error: With BAD_VALUE; the record is not a valid endpoint.
        """
