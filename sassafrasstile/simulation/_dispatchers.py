"""Choice of engines in a simulated gateway: by the queue or a plain policy."""

import abc
import random

from sassafrasstile import dispatch
from sassafrasstile import forwarding
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import plugins
from sassafrasstile import policies
from sassafrasstile import routes


class Dispatcher(abc.ABC):
    """Chooses and reserves engines for generations."""

    @abc.abstractmethod
    async def acquire(
        self,
        task: forwarding.RequestTask,
        handle: forwarding.KvHandle | None,
    ) -> dispatch.Grant | None:
        """Returns engines for a generation, or None to refuse it.

        Args:
            task: The request.
            handle: The handle of a finished prefill, or None.
        """

    @abc.abstractmethod
    def confirm(
        self, task: forwarding.RequestTask, grant: dispatch.Grant
    ) -> None:
        """Checks a grant again after the prefill has finished."""

    @abc.abstractmethod
    def can_prefill_locally(self, grant: dispatch.Grant) -> bool:
        """Returns whether the decode engine may prefill the prompt."""

    @abc.abstractmethod
    def needs_hold(self, grant: dispatch.Grant) -> bool:
        """Returns whether the decode engine has to set memory aside first."""

    @abc.abstractmethod
    def release_prefill(self, grant: dispatch.Grant) -> None:
        """Releases the reservation of the prefill engine."""

    @abc.abstractmethod
    def make_report(self, *, is_complete: bool) -> peers.QueueReport:
        """Returns what waits for engines."""

    @abc.abstractmethod
    def apply_report(self, peer: str, report: peers.QueueReport) -> None:
        """Records what waits at another gateway."""

    @abc.abstractmethod
    def release(self, grant: dispatch.Grant) -> None:
        """Releases the reservations of both engines."""


class QueueDispatcher(Dispatcher):
    """The queue and the placement of real gateways.

    Args:
        context: The context that the gateway's forwarding code shares.
        service: The service to which the requests go.
    """

    def __init__(
        self,
        *,
        context: forwarding.ForwardingContext,
        service: routes.Service,
    ):
        self._context = context
        self._service = service
        self._admission = forwarding.AdmissionController(context=context)

    async def acquire(self, task, handle):
        """Waits in the queue until engines have capacity."""
        return await self._admission.acquire(task, handle=handle)

    def make_report(self, *, is_complete):
        """Returns the report of the admission."""
        return self._admission.make_report(is_complete=is_complete)

    def apply_report(self, peer, report):
        """Passes another gateway's report to the admission."""
        self._admission.apply_report(peer, report)

    def confirm(self, task, grant):
        """Moves a grant if another gateway reserved the same capacity."""
        self._admission.confirm(task, grant)

    def can_prefill_locally(self, grant):
        """Returns the decision of the placement."""
        return self._context.placement.can_prefill_locally(
            grant.decode, grant.size, self._context.now()
        )

    def needs_hold(self, grant):
        """Returns the decision of the placement."""
        return self._context.placement.needs_hold(grant, service=self._service)

    def release_prefill(self, grant):
        """Releases the reservation of the prefill engine."""
        self._admission.release_prefill(grant)

    def release(self, grant):
        """Releases the reservations of both engines."""
        self._admission.release(grant)

    def admit(self) -> None:
        """Admits waiting requests; to be called often."""
        self._admission.admit()


class PolicyDispatcher(Dispatcher):
    """A plain policy that sees only this gateway's own load and never queues.

    Args:
        endpoints: The engines.
        policy: The policy's registered name.
        service: The service to which the requests go.
        generator: The random generator.
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
        """Chooses engines immediately."""
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

    def make_report(self, *, is_complete):
        """Returns an empty report, since nothing waits."""
        return peers.QueueReport()

    def apply_report(self, peer, report):
        """Does nothing: it sees only its own gateway's requests."""

    def confirm(self, task, grant):
        """Keeps the grant unchanged."""

    def can_prefill_locally(self, grant):
        """Always allows the decode engine to prefill."""
        return True

    def needs_hold(self, grant):
        """Never asks the decode engine."""
        return False

    def release_prefill(self, grant):
        """Releases the reservation of the prefill engine."""
        grant.release_prefill()

    def release(self, grant):
        """Releases the reservations of both engines."""
        grant.release()
