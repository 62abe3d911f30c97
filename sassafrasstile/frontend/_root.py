"""The resource tree that is served to callers."""

import json

from twisted.web import resource
from twisted.web import server

from sassafrasstile import errors
from sassafrasstile import settings
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.frontend import _answers
from sassafrasstile.frontend import _base
from sassafrasstile.frontend import _directory
from sassafrasstile.frontend import _generation
from sassafrasstile.frontend import _identity
from sassafrasstile.frontend import _services


class _UnknownPath(resource.Resource):
    """Answers an unknown path with a JSON error."""

    isLeaf = True  # noqa: N815

    def render(self, request):
        """Handles one request."""
        error = errors.RequestError(
            code=errors.Code.UNKNOWN_PATH,
            detail=f"{request.path.decode(errors='replace')} isn't served",
            status=404,
        )
        _answers.write_request_error(
            request,
            request_id=_identity.read_request_id(request),
            error=error,
        )
        return server.NOT_DONE_YET


class _Models(resource.Resource):
    """Handles `GET /v1/models`."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, models: dict[str, settings.ModelSettings]):
        super().__init__()
        self._models = models

    def render_GET(self, request):  # noqa: N802
        """Lists the models."""
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "site"}
            for name in sorted(self._models)
        ]
        request.setHeader(b"content-type", b"application/json")
        return json.dumps({"object": "list", "data": models}).encode()


class _PathResource(resource.Resource):
    """A part of a path; unknown children answer with a JSON error."""

    def getChild(self, path, request):  # noqa: N802
        """Returns the resource for an unknown child."""
        return _UnknownPath()


class _LimitedRequest(server.Request):
    """A request that refuses a body of more than `limit_bytes` bytes.

    The body is refused before all of it is buffered.
    """

    limit_bytes = 0
    is_refused = False

    def gotLength(self, length):  # noqa: N802
        """Refuses a body whose Content-Length is too large."""
        if length is not None and length > self.limit_bytes:
            self._refuse()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data):  # noqa: N802
        """Refuses a body without Content-Length once it is too large."""
        if self.is_refused:
            return
        if self.content.tell() + len(data) > self.limit_bytes:
            self._refuse()
            return
        super().handleContentChunk(data)

    def _refuse(self):
        self.is_refused = True
        error = errors.RequestError(
            code=errors.Code.REQUEST_TOO_LARGE,
            detail=f"The body exceeds {self.limit_bytes} bytes",
            status=413,
        )
        body = json.dumps(
            _answers.make_error_body(
                request_id="",
                verdict=verdicts.NotRun(code=error.code),
                detail=error.detail,
            )
        ).encode()
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Content-Type: application/json\r\n"
            b"Connection: close\r\n"
            b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body
        )
        self.channel.loseConnection()

    def process(self):
        """Handles the request unless it was refused."""
        if not self.is_refused:
            super().process()


def make_site(
    *,
    reactor,
    router: _base.Router,
    directory: _directory.CallerDirectory,
    site: settings.Site,
) -> web.CallerSite:
    """Returns the twisted.web site for callers.

    Args:
        reactor: The reactor.
        router: The gateway daemon.
        directory: Finds workspaces.
        site: The settings of the site.
    """
    chat = _PathResource()
    chat.putChild(
        b"completions",
        _generation.GenerationResource(
            router=router,
            directory=directory,
            models=site.models,
            is_chat=True,
        ),
    )
    v1 = _PathResource()
    v1.putChild(b"chat", chat)
    v1.putChild(b"models", _Models(models=site.models))
    v1.putChild(
        b"completions",
        _generation.GenerationResource(
            router=router,
            directory=directory,
            models=site.models,
            is_chat=False,
        ),
    )
    root = _PathResource()
    root.putChild(b"v1", v1)
    root.putChild(
        b"services",
        _services.ServicesResource(
            router=router, directory=directory, services=site.services
        ),
    )
    root.putChild(
        b"outcomes",
        _services.OutcomesResource(
            router=router, directory=directory, services=site.services
        ),
    )

    class Request(_LimitedRequest):
        limit_bytes = site.requests.body_bytes

    web_site = web.CallerSite(
        root,
        reactor=reactor,
        stall_s=site.requests.read_s,
        requestFactory=Request,
        timeout=site.requests.read_s,
    )
    web_site.displayTracebacks = False
    return web_site
