"""The gateway's kernel: turns requests, messages and timers into effects."""

from collections.abc import Iterable
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import policies
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _calls
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _generation_table
from sassafrasstile.gateway import _invariants
from sassafrasstile.gateway import _losses
from sassafrasstile.gateway import _owners
from sassafrasstile.gateway import _settings

_LOG = logging.getLogger("sassafrasstile.gateway")


class GatewayKernel:
    """Routes requests to endpoints and decides about retries.

    Args:
        name: The gateway's name.
        endpoints: The endpoints of the configuration.
        policy: The routing policy.
        settings: The gateway's settings.
    """

    def __init__(
        self,
        *,
        name: str,
        endpoints: Iterable[_endpoints.Endpoint],
        policy: policies.Policy,
        settings: _settings.GatewaySettings | None = None,
    ):
        self.name = name
        self.settings = settings or _settings.GatewaySettings()
        endpoints = list(endpoints)
        self._endpoints = _endpoints.EndpointTable(endpoints=endpoints)
        self._context = _context.Context(
            name=name,
            settings=self.settings,
            policy=policy,
            endpoints=self._endpoints,
        )
        self._generations = _generation_table.GenerationTable(
            context=self._context
        )
        self._losses = _losses.LossTable()
        self._calls = _calls.CallTable(
            context=self._context,
            owners=_owners.OwnerMap(endpoints=endpoints),
            losses=self._losses,
        )
        self._answer_checker = _invariants.AnswerChecker(name=name)
        self._renew_at = 0.0
        self._last_now: float | None = None
        self._held_at_last_renewal: set[str] = set()

    # Inputs.

    def submit(
        self, request: _base.GenerationRequest, now: float
    ) -> list[_base.Effect]:
        """Accepts a generation request.

        Args:
            request: The validated request.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.

        Raises:
            errors.RequestError: If the id is in use for a different request.
        """
        self._generations.check_id_reuse(request)
        self._answer_checker.open(request.request_id)
        self._generations.submit(request, now)
        return self._collect_effects()

    def submit_call(
        self,
        request: _base.CallRequest | _base.InquiryRequest,
        now: float,
    ) -> list[_base.Effect]:
        """Accepts a call to a plain service, or an inquiry about one."""
        self._answer_checker.open(request.request_id)
        self._calls.submit(request, now)
        return self._collect_effects()

    def cancel(self, request_id: str, now: float) -> list[_base.Effect]:
        """Cancels a request whose caller disconnected."""
        self._answer_checker.close(request_id)
        self._generations.cancel(request_id, now)
        self._calls.cancel(request_id, now)
        return self._collect_effects()

    def end_all(self, code: errors.Code) -> list[_base.Effect]:
        """Refuses all requests in flight, since this gateway exits.

        Nothing is cancelled at the endpoints: another gateway may go on with
        an answer while its lease lasts.

        Args:
            code: Why the requests are refused.
        """
        self._generations.end_all(code)
        self._calls.end_all(code)
        return self._collect_effects()

    def connect(self, peer: str, now: float) -> list[_base.Effect]:
        """Handles a new link to a sidecar."""
        endpoint = self._endpoints.get(peer)
        endpoint.connected = True
        endpoint.record_message()
        endpoint.full_until = 0.0
        # Frees whatever the sidecar still holds from before the link was lost.
        self._context.send(
            peer, messages.Renew(issued_below=self._context.next_attempt)
        )
        return self._collect_effects()

    def disconnect(self, peer: str, now: float) -> list[_base.Effect]:
        """Handles the loss of a link to a sidecar."""
        endpoint = self._endpoints.get(peer)
        if endpoint.connected:
            self._mark_disconnected(endpoint, now)
        return self._collect_effects()

    def _mark_disconnected(
        self, endpoint: _endpoints.Endpoint, now: float
    ) -> None:
        endpoint.connected = False
        endpoint.incarnation = ""
        endpoint.load = messages.Load()
        self._generations.fail_attempts_at(endpoint, now)
        self._calls.fail_attempts_at(endpoint, now)
        endpoint.live_attempts.clear()

    def receive(
        self, peer: str, batch: messages.Batch, now: float
    ) -> list[_base.Effect]:
        """Handles a batch from a sidecar."""
        self._handle_suspension(now)
        endpoint = self._endpoints.get(peer)
        if not endpoint.connected:
            return self._collect_effects()
        if endpoint.incarnation and batch.incarnation != endpoint.incarnation:
            self._mark_disconnected(endpoint, now)
            endpoint.connected = True
        endpoint.incarnation = batch.incarnation
        endpoint.record_message()
        if batch.load is not None:
            self._endpoints.update_load(endpoint, batch.load)
            self._losses.record(
                endpoint.serves, batch.load.loss_offset, now=now
            )
        for message in batch.messages:
            if not self._generations.receive(endpoint, message, now):
                self._calls.receive(endpoint, message, now)
        return self._collect_effects()

    def update_leaving_vms(
        self, vms: frozenset[str], now: float
    ) -> list[_base.Effect]:
        """Sets which VMs the platform lists as leaving."""
        self._endpoints.update_leaving_vms(vms)
        return self._collect_effects()

    def tick(self, now: float) -> list[_base.Effect]:
        """Handles timers. Must be called about 20 times a second."""
        self._handle_suspension(now)
        self._losses.advance(now)
        self._disconnect_unresponsive(now)
        self._generations.tick(now)
        self._calls.tick(now)
        if now >= self._renew_at:
            self._renew_at = now + self.settings.renew_s
            self._renew(now)
        return self._collect_effects()

    # Queries.

    def is_idle(self) -> bool:
        """Returns whether no request is in flight."""
        return not len(self._generations) and not len(self._calls)

    def count_in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._generations) + len(self._calls)

    def list_endpoints(self) -> list[_endpoints.Endpoint]:
        """Returns every endpoint as this gateway knows it."""
        return self._endpoints.list_all()

    def find_incarnation(self, peer: str) -> str:
        """Returns the incarnation to which messages to a peer are addressed."""
        return self._endpoints.get(peer).incarnation

    # Leases and unresponsive sidecars.

    def _handle_suspension(self, now: float) -> None:
        """Handles a suspension of this process.

        Time for which this process was suspended doesn't count as silence of
        the sidecars.
        """
        last_now = now if self._last_now is None else self._last_now
        suspended_s = now - last_now
        self._last_now = now
        if suspended_s <= self.settings.renew_s:
            return
        _LOG.warning(
            "gateway %s: was suspended for %.1f s. Renewing every lease.",
            self.name,
            suspended_s,
        )
        self._renew_at = now
        for endpoint in self._endpoints.list_all():
            endpoint.record_message()
        if suspended_s >= self.settings.lease_s:
            self._generations.requeue_before_decode()

    def _disconnect_unresponsive(self, now: float) -> None:
        """Closes the links to sidecars that don't answer renewals.

        While a silent sidecar holds attempts, its link is kept for as long as
        a lease, so that their requests can move to other endpoints first. By
        then a sidecar that hasn't heard the renewal has released them.
        """
        for endpoint in self._endpoints.list_all():
            silent_s = endpoint.measure_silence(now)
            endpoint.is_silent = silent_s >= self.settings.silence_s
            if not endpoint.connected or not endpoint.is_silent:
                continue
            if endpoint.live_attempts and silent_s < self.settings.lease_s:
                continue
            _LOG.warning(
                "gateway %s: closes the link to %s. Reason: silent for %.1f s.",
                self.name,
                endpoint.name,
                silent_s,
            )
            self._context.emit(_base.Reconnect(peer=endpoint.name))
            self._mark_disconnected(endpoint, now)

    def _renew(self, now: float) -> None:
        """Renews the lease at each endpoint that holds attempts.

        An endpoint whose attempts have all ended gets one more renewal.
        """
        holding = set()
        for endpoint in self._endpoints.list_all():
            if not endpoint.connected:
                continue
            if (
                not endpoint.live_attempts
                and endpoint.name not in self._held_at_last_renewal
            ):
                continue
            if endpoint.live_attempts:
                holding.add(endpoint.name)
                if endpoint.unanswered_since is None:
                    endpoint.unanswered_since = now
            self._context.send(
                endpoint.name,
                messages.Renew(
                    issued_below=self._context.next_attempt,
                    live=tuple(sorted(endpoint.live_attempts)),
                ),
            )
        self._held_at_last_renewal = holding

    def _collect_effects(self) -> list[_base.Effect]:
        effects = self._context.take_effects()
        for effect in effects:
            self._answer_checker.check(effect)
        return effects
