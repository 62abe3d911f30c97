"""The stand-in for the platform's list of live and leaving VMs."""

from sassafrasstile.standins import _http_base


class VmsServer(_http_base.HttpStandin):
    """Serves a list of VMs that shows changes with a delay.

    `GET /v1/vms` lists them, `POST /v1/vms` sets the state of one.

    Args:
        reactor: The reactor.
        lag_s: Seconds until a change is visible.
    """

    def __init__(self, *, reactor, lag_s: float = 1.0):
        self.resource = _VmsResource(reactor=reactor, lag_s=lag_s)
        super().__init__(reactor=reactor, root=self.resource)

    def set_state(self, vm: str, state: str) -> None:
        """Sets a VM to `live`, `leaving` or `gone`."""
        self.resource.set_state(vm, state)


class _VmsResource(_http_base.JsonResource):
    routes = {
        ("GET", "/v1/vms"): "list_vms",
        ("POST", "/v1/vms"): "change_vm",
    }

    def __init__(self, *, reactor, lag_s):
        super().__init__()
        self._reactor = reactor
        self._lag_s = lag_s
        self._states: dict[str, str] = {}

    def set_state(self, vm, state):
        self._reactor.callLater(
            self._lag_s, self._states.__setitem__, vm, state
        )

    def list_vms(self, request):
        rows = [
            {"vm": vm, "state": state}
            for vm, state in sorted(self._states.items())
            if state != "gone"
        ]
        return _http_base.answer_json(request, 200, {"vms": rows})

    def change_vm(self, request):
        body = _http_base.read_json(request)
        self.set_state(body["vm"], body["state"])
        return _http_base.answer_json(request, 200, body)
