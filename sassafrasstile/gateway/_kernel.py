"""The gateway's kernel: requests and timers in, effects out."""

from collections.abc import Iterable
import logging

from sassafrasstile import messages
from sassafrasstile import policies
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _calls
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _generation_table
from sassafrasstile.gateway import _invariants
from sassafrasstile.gateway import _owners
from sassafrasstile.gateway import _settings

_LOG = logging.getLogger("sassafrasstile.gateway")


class GatewayKernel:
    """Decides where requests go, when they are tried again and when not.

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
        self._calls = _calls.CallTable(
            context=self._context,
            owners=_owners.OwnerMap(endpoints=endpoints),
        )
        self._ledger = _invariants.AnswerLedger(name=name)
        self._renew_at = 0.0
        self._last_now: float | None = None
        self._renewed: set[str] = set()

    # Inputs.

    def submit(
        self, request: _base.GenerationRequest, now: float
    ) -> list[_base.Effect]:
        """Takes a generation request.

        Args:
            request: The request, already checked.
            now: Kernel time in seconds.

        Returns:
            The effects, in order.

        Raises:
            errors.RequestError: When the id is in use for another request.
        """
        self._generations.check_same(request)
        self._ledger.open(request.request_id)
        self._generations.submit(request, now)
        return self._end()

    def submit_call(
        self,
        request: _base.CallRequest | _base.InquiryRequest,
        now: float,
    ) -> list[_base.Effect]:
        """Takes a call to a plain service, or a question about one."""
        self._ledger.open(request.request_id)
        self._calls.submit(request, now)
        return self._end()

    def cancel(self, request_id: str, now: float) -> list[_base.Effect]:
        """Gives up a request whose caller has gone."""
        self._ledger.close(request_id)
        self._generations.cancel(request_id, now)
        self._calls.cancel(request_id, now)
        return self._end()

    def connect(self, peer: str, now: float) -> list[_base.Effect]:
        """Notes that a link to a sidecar is up."""
        endpoint = self._endpoints.get(peer)
        endpoint.connected = True
        endpoint.last_received_at = now
        endpoint.full_until = 0.0
        # Nothing of before the link broke is wanted any more.
        self._context.send(
            peer, messages.Renew(issued_below=self._context.next_attempt)
        )
        return self._end()

    def disconnect(self, peer: str, now: float) -> list[_base.Effect]:
        """Notes that a link to a sidecar has broken."""
        endpoint = self._endpoints.get(peer)
        if endpoint.connected:
            self._lose(endpoint, now)
        return self._end()

    def _lose(self, endpoint: _endpoints.Endpoint, now: float) -> None:
        endpoint.connected = False
        endpoint.incarnation = ""
        endpoint.load = messages.Load()
        self._generations.lose_endpoint(endpoint, now)
        self._calls.lose_endpoint(endpoint, now)
        endpoint.live_attempts.clear()

    def receive(
        self, peer: str, batch: messages.Batch, now: float
    ) -> list[_base.Effect]:
        """Handles a batch from a sidecar."""
        self._notice_pause(now)
        endpoint = self._endpoints.get(peer)
        if not endpoint.connected:
            return self._end()
        if endpoint.incarnation and batch.incarnation != endpoint.incarnation:
            self._lose(endpoint, now)
            endpoint.connected = True
        endpoint.incarnation = batch.incarnation
        endpoint.last_received_at = now
        if batch.load is not None:
            self._endpoints.update_load(endpoint, batch.load)
        for message in batch.messages:
            if not self._generations.receive(endpoint, message, now):
                self._calls.receive(endpoint, message, now)
        return self._end()

    def update_leaving_vms(
        self, vms: frozenset[str], now: float
    ) -> list[_base.Effect]:
        """Notes which VMs the platform's list shows as leaving."""
        self._endpoints.update_leaving_vms(vms)
        return self._end()

    def tick(self, now: float) -> list[_base.Effect]:
        """Handles timers. To be called some twenty times a second."""
        self._notice_pause(now)
        self._drop_silent(now)
        self._generations.tick(now)
        self._calls.tick(now)
        if now >= self._renew_at:
            self._renew_at = now + self.settings.renew_s
            self._renew()
        return self._end()

    # What others may look at.

    def is_idle(self) -> bool:
        """Says whether no request is in flight."""
        return not len(self._generations) and not len(self._calls)

    def count_in_flight(self) -> int:
        """Returns the requests in flight."""
        return len(self._generations) + len(self._calls)

    def list_endpoints(self) -> list[_endpoints.Endpoint]:
        """Returns every endpoint as this gateway sees it."""
        return self._endpoints.list_all()

    def find_incarnation(self, peer: str) -> str:
        """Returns the incarnation that messages to a peer are meant for."""
        return self._endpoints.get(peer).incarnation

    # Leases and silence.

    def _notice_pause(self, now: float) -> None:
        """Doesn't count a pause of this process as silence of others."""
        last_now = now if self._last_now is None else self._last_now
        paused_s = now - last_now
        self._last_now = now
        if paused_s <= self.settings.renew_s:
            return
        _LOG.warning(
            "gateway %s: was paused for %.1f s. Renews every lease.",
            self.name,
            paused_s,
        )
        self._renew_at = now
        for endpoint in self._endpoints.list_all():
            endpoint.last_received_at = now
        if paused_s >= self.settings.lease_s:
            self._generations.lapse()

    def _drop_silent(self, now: float) -> None:
        """Breaks the links to sidecars that don't answer renewals."""
        for endpoint in self._endpoints.list_all():
            if not endpoint.connected:
                continue
            if not endpoint.live_attempts:
                endpoint.last_received_at = now
                continue
            if now - endpoint.last_received_at < self.settings.silence_s:
                continue
            _LOG.warning(
                "gateway %s: breaks the link to %s. Reason: silent for %.1f s.",
                self.name,
                endpoint.name,
                now - endpoint.last_received_at,
            )
            self._context.emit(_base.Reconnect(peer=endpoint.name))
            self._lose(endpoint, now)

    def _renew(self) -> None:
        """Renews the lease wherever something is, or was just, held."""
        holding = set()
        for endpoint in self._endpoints.list_all():
            if not endpoint.connected:
                continue
            if (
                not endpoint.live_attempts
                and endpoint.name not in self._renewed
            ):
                continue
            if endpoint.live_attempts:
                holding.add(endpoint.name)
            self._context.send(
                endpoint.name,
                messages.Renew(
                    issued_below=self._context.next_attempt,
                    live=tuple(sorted(endpoint.live_attempts)),
                ),
            )
        self._renewed = holding

    def _end(self) -> list[_base.Effect]:
        effects = self._context.take_effects()
        for effect in effects:
            self._ledger.check(effect)
        return effects
