"""The contract of what decodes the store's records."""

import abc

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import stores


class Sources(abc.ABC):
    """Decodes configurations and endpoints.

    Attributes:
        configuration_topic: The topic that holds the configuration.
        membership_topic: The topic in which endpoints announce themselves.
        peer_topic: The topic that says where gateways hear from each other.
        lease_topic: The topic that says which gateway may change roles.
    """

    configuration_topic: str
    membership_topic: str
    peer_topic: str
    lease_topic: str

    @abc.abstractmethod
    def decode_configuration(
        self, change: stores.Change
    ) -> routes.Configuration | None:
        """Returns the configuration that a record holds, or None.

        Raises:
            errors.ConfigurationError: It isn't valid.
        """

    @abc.abstractmethod
    def decode_endpoint(
        self, change: stores.Change
    ) -> membership.EndpointRecord | None:
        """Returns what an endpoint announced, or None when it is gone.

        Raises:
            errors.Error: With BAD_VALUE; the record names no endpoint.
        """
