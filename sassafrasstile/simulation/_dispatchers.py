"""How a simulated gateway finds engines: its queue, or a plain policy."""

import abc
import random

from sassafrasstile import dispatch
from sassafrasstile import forwarding
from sassafrasstile import membership
from sassafrasstile import plugins
from sassafrasstile import policies
from sassafrasstile import routes


class Dispatcher(abc.ABC):
    """Finds engines for generations."""

    @abc.abstractmethod
    async def acquire(
        self,
        task: forwarding.RequestTask,
        handle: forwarding.KvHandle | None,
    ) -> dispatch.Grant | None:
        """Returns engines for a generation, or None to refuse it.

        Args:
            task: The request.
            handle: Its prompt, read already, or None.
        """

    @abc.abstractmethod
    def confirm(
        self, task: forwarding.RequestTask, grant: dispatch.Grant
    ) -> None:
        """Looks at a grant again once its prompt is read."""

    @abc.abstractmethod
    def can_prefill_locally(self, grant: dispatch.Grant) -> bool:
        """Says whether the decode engine may read the prompt."""

    @abc.abstractmethod
    def release_prefill(self, grant: dispatch.Grant) -> None:
        """Gives the prefill engine back."""

    @abc.abstractmethod
    def release(self, grant: dispatch.Grant) -> None:
        """Gives everything back."""


class QueueDispatcher(Dispatcher):
    """The queue and the placement of real gateways.

    Args:
        context: What the real gateway's parts share.
    """

    def __init__(self, *, context: forwarding.ForwardingContext):
        self._context = context
        self._admission = forwarding.AdmissionController(context=context)

    async def acquire(self, task, handle):
        """Waits for room."""
        return await self._admission.acquire(task, handle=handle)

    def confirm(self, task, grant):
        """Moves a grant when others took the same room."""
        self._admission.confirm(task, grant)

    def can_prefill_locally(self, grant):
        """Asks the placement."""
        return self._context.placement.can_prefill_locally(
            grant.decode, grant.size
        )

    def release_prefill(self, grant):
        """Gives the prefill engine back."""
        self._admission.release_prefill(grant)

    def release(self, grant):
        """Gives everything back."""
        self._admission.release(grant)

    def admit(self) -> None:
        """Looks for room again; to be called often."""
        self._admission.admit()


class PolicyDispatcher(Dispatcher):
    """A plain policy that sees this gateway's own load and never waits.

    Args:
        endpoints: The engines.
        policy: The policy's registered name.
        service: The service wanted.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        endpoints: dispatch.EndpointTable,
        policy: str,
        service: routes.Service,
        generator: random.Random,
    ):
        self._endpoints = endpoints
        self._service = service
        self._policies = {
            role: plugins.create(
                plugins.Kind.POLICY, policy, generator=generator
            )
            for role in (membership.Role.DECODE, membership.Role.PREFILL)
        }

    async def acquire(self, task, handle):
        """Chooses at once."""
        now = task.request.received_at
        decode = self._choose(membership.Role.DECODE, task, now)
        prefill = None
        if handle is None:
            prefill = self._choose(membership.Role.PREFILL, task, now)
        grant = dispatch.Grant(decode=decode, size=task.size, prefill=prefill)
        grant.reserve()
        return grant

    def _choose(self, role, task, now) -> dispatch.Endpoint:
        usable = {
            item.name: item
            for item in self._endpoints.list_usable(
                service=self._service.name, role=role, now=now
            )
        }
        slots = self._service.engine.slots
        views = [
            policies.EndpointView(
                name=item.name,
                zone=item.record.zone,
                slots=slots,
                free_slots=slots - item.in_flight,
                in_flight=item.in_flight + bool(item.prefill_tokens),
                backlog_s=float(item.prefill_tokens),
            )
            for item in usable.values()
        ]
        request = policies.WorkRequest(request_id=task.request_id)
        chosen = self._policies[role].choose(views, request=request, now=now)
        return usable[chosen.name]

    def confirm(self, task, grant):
        """Keeps what was chosen."""

    def can_prefill_locally(self, grant):
        """Lets the decode engine read what the prefill engine didn't."""
        return True

    def release_prefill(self, grant):
        """Gives the prefill engine back."""
        grant.release_prefill()

    def release(self, grant):
        """Gives everything back."""
        grant.release()
