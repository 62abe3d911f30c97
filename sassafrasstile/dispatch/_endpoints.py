"""The endpoints as one gateway sees them."""

from collections.abc import Iterable
import dataclasses

from sassafrasstile import membership
from sassafrasstile.dispatch import _health


@dataclasses.dataclass(kw_only=True, eq=False)
class Endpoint:
    """One start of an endpoint, and this gateway's load on it.

    Attributes:
        record: What it announced.
        health: What its answers show.
        in_flight: Requests of this gateway that it runs or queues.
        reserved_tokens: KV memory that these take at their end.
        prefill_tokens: Prompt tokens of this gateway that it reads now.
        is_gone: True once it has left.
    """

    record: membership.EndpointRecord
    health: _health.Health
    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    is_gone: bool = False

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.record.endpoint_id


class EndpointTable:
    """All endpoints by id.

    Args:
        silence_s: The shortest silence that counts as one.
    """

    def __init__(self, *, silence_s: float):
        self._silence_s = silence_s
        self._endpoints: dict[str, Endpoint] = {}

    def note_record(
        self, endpoint_id: str, record: membership.EndpointRecord | None
    ) -> Endpoint | None:
        """Notes what an endpoint announced, or that it is gone.

        Returns:
            The endpoint's former incarnation when that has ended, or None.
        """
        former = self._endpoints.get(endpoint_id)
        if record is None:
            self._endpoints.pop(endpoint_id, None)
        elif former and former.record.incarnation == record.incarnation:
            former.record = record
            return None
        else:
            self._endpoints[endpoint_id] = Endpoint(
                record=record,
                health=_health.Health(silence_s=self._silence_s),
            )
        if former is not None:
            former.is_gone = True
        return former

    def list_all(self) -> list[Endpoint]:
        """Returns every endpoint."""
        return list(self._endpoints.values())

    def list_usable(
        self,
        *,
        service: str,
        role: membership.Role,
        now: float,
        excluded: Iterable[Endpoint] = (),
    ) -> list[Endpoint]:
        """Returns the endpoints that may take new work.

        Where none is reachable, those that are not are returned: they may
        have recovered, and nothing better is left.

        Args:
            service: The service wanted.
            role: The role wanted.
            now: The time in seconds.
            excluded: Endpoints that have failed this request.
        """
        ready = [
            item
            for item in self._endpoints.values()
            if item.record.service == service
            and item.record.role is role
            and item.record.state is membership.EndpointState.READY
            and item not in excluded
        ]
        reachable = [item for item in ready if item.health.is_reachable(now)]
        return reachable or ready

    def list_unreachable(self, now: float) -> list[Endpoint]:
        """Returns the endpoints that want a probe."""
        return [
            item
            for item in self._endpoints.values()
            if not item.health.is_reachable(now)
        ]
