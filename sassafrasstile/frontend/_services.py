"""Handles `/services/NAME/PATH` and `/outcomes/NAME/KEY`."""

import hashlib
import json

from twisted.web import resource
from twisted.web import server

from sassafrasstile import errors
from sassafrasstile import gateway
from sassafrasstile import settings
from sassafrasstile.frontend import _answers
from sassafrasstile.frontend import _base
from sassafrasstile.frontend import _directory
from sassafrasstile.frontend import _identity

_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def find_rule(
    service: settings.ServiceSettings, *, method: str, path: str
) -> settings.Rule:
    """Returns the rule for a call.

    Args:
        service: The service.
        method: The HTTP method.
        path: The path below the service.

    Returns:
        The first rule that matches. If none does, a rule that allows repeated
        runs only for GET, HEAD and OPTIONS.

    >>> rule = find_rule(settings.ServiceSettings(), method="GET", path="/")
    >>> rule.repeatable
    True
    """
    for rule in service.rules:
        if rule.method in ("*", method) and path.startswith(rule.path):
            return rule
    return settings.Rule(repeatable=method in _REPEATABLE_METHODS)


class ServicesResource(resource.Resource):
    """Handles calls to plain services.

    Args:
        router: The gateway daemon.
        directory: Finds workspaces.
        services: The configured services.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        router: _base.Router,
        directory: _directory.CallerDirectory,
        services: dict[str, settings.ServiceSettings],
    ):
        super().__init__()
        self._router = router
        self._directory = directory
        self._services = services

    def render(self, request):
        """Handles one call."""
        request_id = _identity.read_request_id(request)
        try:
            self._submit(request, request_id)
        except errors.RequestError as error:
            _answers.write_request_error(
                request, request_id=request_id, error=error
            )
        return server.NOT_DONE_YET

    def _submit(self, request, request_id: str) -> None:
        workspace = _identity.find_workspace(request, self._directory)
        name, service = self._find_service(request)
        method = request.method.decode()
        path = "/" + "/".join(part.decode() for part in request.postpath[1:])
        rule = find_rule(service, method=method, path=path)
        query = request.uri.partition(b"?")[2].decode()
        full_path = f"{path}?{query}" if query else path
        body = request.content.read()
        key = _identity.read_idempotency_key(request) or request_id
        call_id = _make_call_id(workspace, request_id)
        call = gateway.CallRequest(
            request_id=call_id,
            key=f"{workspace}/{key}",
            workspace=workspace,
            service=name,
            method=method,
            path=full_path,
            content_type=_identity.read_header(request, "content-type"),
            body=body,
            repeatable=rule.repeatable,
            limit_s=rule.limit_s,
            digest=_digest_call(method, full_path, body),
            first=_identity.is_first_attempt(request),
            runs_unlogged=rule.during_outage == "run",
        )
        exchange = CallExchange(
            request=request,
            router=self._router,
            kernel_id=call_id,
            request_id=request_id,
        )
        self._router.submit_call(call, exchange)

    def _find_service(self, request) -> tuple[str, settings.ServiceSettings]:
        name = request.postpath[0].decode() if request.postpath else ""
        if name not in self._services:
            raise errors.RequestError(
                code=errors.Code.UNKNOWN_SERVICE,
                detail=(
                    f"service is {name!r}; allowed are {sorted(self._services)}"
                ),
                status=404,
            )
        return name, self._services[name]


_SERIAL_NUMBERS = iter(range(1, 1 << 62))


def _make_call_id(workspace: str, request_id: str) -> str:
    """Returns an id unique to one HTTP request; retries share request ids."""
    return f"{workspace}/{request_id}#{next(_SERIAL_NUMBERS)}"


def _digest_call(method: str, path: str, body: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class CallExchange(_answers.HttpExchange):
    """The exchange of one call or inquiry."""

    def handle(self, effect: gateway.Effect) -> None:
        """Writes an effect of the kernel to the caller."""
        match effect:
            case gateway.Answer():
                self._answer(effect)
            case gateway.Refuse():
                self.refuse(effect)
            case gateway.Report():
                self._report(effect)

    def _answer(self, effect: gateway.Answer) -> None:
        self.request.setResponseCode(effect.status)
        _answers.set_common_headers(self.request, self.request_id)
        if effect.content_type:
            self.request.setHeader(
                b"content-type", effect.content_type.encode()
            )
        if effect.replayed:
            self.request.setHeader(b"idempotency-replayed", b"true")
        self.request.write(effect.body)
        self.finish()

    def _report(self, effect: gateway.Report) -> None:
        status = effect.status
        body = {
            "request_id": self.request_id,
            "verdict": status.verdict,
            "code": status.code,
            "status": status.status,
            "body": status.body.decode(errors="replace"),
        }
        _answers.set_common_headers(self.request, self.request_id)
        self.request.setHeader(b"content-type", b"application/json")
        self.request.write(json.dumps(body).encode())
        self.finish()


class OutcomesResource(ServicesResource):
    """Handles inquiries about the outcome of a non-idempotent call."""

    def _submit(self, request, request_id: str) -> None:
        workspace = _identity.find_workspace(request, self._directory)
        name, _ = self._find_service(request)
        if request.method != b"GET" or len(request.postpath) != 2:
            raise errors.RequestError(
                code=errors.Code.UNKNOWN_PATH,
                detail="Allowed is GET /outcomes/SERVICE/KEY",
                status=404,
            )
        key = request.postpath[1].decode()
        call_id = _make_call_id(workspace, request_id)
        exchange = CallExchange(
            request=request,
            router=self._router,
            kernel_id=call_id,
            request_id=request_id,
        )
        self._router.submit_call(
            gateway.InquiryRequest(
                request_id=call_id, key=f"{workspace}/{key}", service=name
            ),
            exchange,
        )
