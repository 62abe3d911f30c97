"""Encodes requests to endpoints and decodes requests and responses."""

import dataclasses
import json
import re

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import forwarding
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.platform import _models
from sassafrasstile.platform import _names

_MISDIRECTED = 421
_UNAVAILABLE = 503
_IS_LEAVING = b"1"
_DECIMAL = re.compile(rb"\d+\.?\d*|\.\d+")
# No endpoint takes more requests a second.
_MAX_RATE_PER_S = 1e6
# Longer texts are cut before they are logged.
_MAX_TEXT_CHARS = 40
# Priority of the least urgent requests that engines accept; 0 is the most
# urgent.
_LOWEST_PRIORITY = 9
# Statuses that guarantee callers that the request was not run.
_NOT_RUN_STATUSES = frozenset((408, 429, 503))
# What callers send of these is dropped where the configuration has workspaces.
_CREDENTIALS = frozenset(
    (_names.AUTHORIZATION.lower(), _names.WORKSPACE.lower())
)


def _read_key(request: web.CallerRequest) -> str | None:
    """Returns the key that a caller shows, or None without exactly one."""
    values = [
        value
        for name, value in request.headers
        if name.lower() == _names.AUTHORIZATION.lower()
    ]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().replace(b"\t", b" ").partition(b" ")
    if scheme.lower() != _names.KEY_SCHEME.lower():
        return None
    try:
        return key.strip().decode() or None
    except UnicodeDecodeError:
        return key.strip().decode("latin-1")


def _parse_token_count(value: bytes | None) -> tuple[int, int]:
    """Returns the prompt and output tokens of `PROMPT,OUTPUT`."""
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b",")
    try:
        return int(prompt), int(output or 0)
    except ValueError as reason:
        raise errors.RequestError(
            code=errors.Code.REQUEST_INVALID,
            detail=f"token count is {value!r}; expected PROMPT,OUTPUT",
        ) from reason


def _read_prompt_parts(text: bytes | None) -> tuple[str, ...]:
    """Returns the ids of the parts of a prompt, in order."""
    if not text:
        return ()
    return tuple(
        part.partition(b":")[0].strip().decode("latin-1")
        for part in text.split(b",")
    )


def _read_name(body: bytes, field: str) -> str:
    """Returns the name that an engine gave to what it keeps.

    Raises:
        errors.Error: With BAD_ANSWER when the response has none.
    """
    try:
        return str(json.loads(body)[field])
    except (ValueError, KeyError, TypeError) as reason:
        raise errors.Error(
            code=errors.Code.BAD_ANSWER,
            detail=f"no {field} in the response {body[:100]!r}",
        ) from reason


def _read_backoff(values: list[bytes]) -> tuple[float | None, str]:
    """Returns the longest back-off among values, and an unreadable one."""
    backoff_s = None
    unreadable = ""
    for text in b",".join(values).split(b",") if values else ():
        if _DECIMAL.fullmatch(text.strip()):
            backoff_s = max(backoff_s or 0.0, float(text))
        else:
            unreadable = _quote(text)
    return backoff_s, unreadable


def _read_rate(values: list[bytes]) -> tuple[float | None, str]:
    """Returns the lowest rate among values, and an unreadable one."""
    rates = []
    unreadable = ""
    for text in b",".join(values).split(b",") if values else ():
        if _DECIMAL.fullmatch(text.strip()):
            rates.append(min(float(text), _MAX_RATE_PER_S))
        else:
            unreadable = _quote(text)
    return min(rates, default=None), unreadable


def _quote(text: bytes) -> str:
    return repr(text.decode("latin-1")[:_MAX_TEXT_CHARS])


class PlatformCodec(forwarding.EndpointCodec):
    """Implements the platform's protocol between gateways and endpoints."""

    def decode_request(
        self, request: web.CallerRequest
    ) -> forwarding.RequestDetails:
        """Reads the headers of a caller's request."""
        host = request.get(b"host")
        if not host:
            raise errors.RequestError(
                code=errors.Code.REQUEST_MALFORMED,
                detail="missing or empty Host header",
            )
        timeout_ms = request.get(_names.DEADLINE_MS.lower())
        last_event_id = request.get(_names.LAST_EVENT_ID.lower())
        try:
            timeout_s = timeout_ms and float(timeout_ms) / _models.MS_PER_S
        except ValueError as reason:
            raise errors.RequestError(
                code=errors.Code.REQUEST_INVALID,
                detail=f"deadline is {timeout_ms!r}; expected milliseconds",
            ) from reason
        request_id = request.get(_names.REQUEST_ID.lower()) or b""
        origin_id = request.get(_names.RESUMES.lower())
        token_count = request.get(_names.TOKEN_COUNT.lower())
        prompt_tokens, output_tokens = _parse_token_count(token_count)
        return forwarding.RequestDetails(
            request_id=request_id.decode("latin-1"),
            host=host.decode("latin-1"),
            timeout_s=timeout_s or None,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event_id=last_event_id and last_event_id.decode("latin-1"),
            prompt_parts=_read_prompt_parts(
                request.get(_names.PROMPT_PARTS.lower())
            ),
            origin_id=origin_id.decode("latin-1") if origin_id else None,
            caller=(request.get(_names.AUTHORIZATION.lower()) or b"").decode(
                "latin-1"
            ),
            key=_read_key(request),
            stated_tokens=(
                None if token_count is None else prompt_tokens + output_tokens
            ),
        )

    def encode_run(
        self,
        request: web.CallerRequest,
        *,
        record: membership.EndpointRecord,
        remaining_s: float,
        priority: int,
        access: workspaces.Access = workspaces.ANONYMOUS,
        handle: forwarding.KvHandle | None = None,
        hold: str | None = None,
        last_event_id: str | None = None,
    ) -> forwarding.OutgoingRequest:
        """Returns the request that makes an endpoint run the work."""
        extra = self._encode_priority(record, priority)
        if handle is not None:
            source = handle.endpoint.record
            location = f"{source.host}:{source.port}/{handle.token}"
            extra.append((_names.KV_SOURCE, location.encode()))
        if hold is not None:
            extra.append((_names.KV_HOLD, hold.encode()))
        if last_event_id is not None:
            extra.append((_names.LAST_EVENT_ID, last_event_id.encode()))
        return self._encode_request(request, record, remaining_s, access, extra)

    def encode_prefill(
        self,
        request: web.CallerRequest,
        *,
        record: membership.EndpointRecord,
        remaining_s: float,
        priority: int,
        access: workspaces.Access = workspaces.ANONYMOUS,
    ) -> forwarding.OutgoingRequest:
        """Returns the request that makes an engine only prefill."""
        extra = self._encode_priority(record, priority)
        extra.append((_names.STAGE, _names.PREFILL_STAGE))
        return self._encode_request(request, record, remaining_s, access, extra)

    @staticmethod
    def _encode_priority(
        record: membership.EndpointRecord, priority: int
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers that set a request's priority at an engine."""
        if record.role is membership.Role.PLAIN:
            return []
        accepted = min(max(priority, 0), _LOWEST_PRIORITY)
        return [(_names.PRIORITY, str(accepted).encode())]

    def _encode_request(self, request, record, remaining_s, access, extra):
        replaced = {name.lower() for name, _ in extra} | _names.SYSTEM_HEADERS
        if access.hides_credentials:
            replaced |= _CREDENTIALS
        headers = [
            item for item in request.headers if item[0].lower() not in replaced
        ]
        remaining_ms = max(1, int(remaining_s * _models.MS_PER_S))
        headers.append((_names.DEADLINE_MS, str(remaining_ms).encode()))
        headers.append((_names.EXPECT_INSTANCE, record.endpoint_id.encode()))
        if access.workspace is not None:
            name = access.workspace.name.encode()
            headers.append((_names.WORKSPACE, name))
        headers.extend(extra)
        request_id = request.get(_names.REQUEST_ID.lower()) or b""
        return forwarding.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            request_id=request_id.decode("latin-1"),
            access=access,
        )

    def decode_handle(self, body: bytes) -> str:
        """Returns the handle's token from the response to a prefill."""
        return _read_name(body, "kvHandle")

    def encode_release(
        self, handle: forwarding.KvHandle
    ) -> forwarding.OutgoingRequest:
        """Returns the request that frees a handle."""
        return forwarding.OutgoingRequest(
            method=b"DELETE",
            target=_names.HANDLE_PATH + handle.token.encode(),
            headers=self._encode_address(handle.endpoint.record),
        )

    def encode_hold(
        self, *, record: membership.EndpointRecord, tokens: int, ttl_s: float
    ) -> forwarding.OutgoingRequest:
        """Returns the request that makes an engine set memory aside."""
        body = {"tokens": tokens, "ttlMs": int(ttl_s * _models.MS_PER_S)}
        return self._encode_post(_names.HOLD_PATH, record, body)

    def decode_hold(self, body: bytes) -> str:
        """Returns the hold's name from the engine's response."""
        return _read_name(body, "hold")

    def encode_hold_release(
        self, *, record: membership.EndpointRecord, token: str
    ) -> forwarding.OutgoingRequest:
        """Returns the request that releases a hold."""
        return forwarding.OutgoingRequest(
            method=b"DELETE",
            target=_names.HOLD_RELEASE_PATH + token.encode(),
            headers=self._encode_address(record),
        )

    def encode_probe(
        self,
        *,
        record: membership.EndpointRecord,
        service: routes.Service,
        must_name_instance: bool,
    ) -> forwarding.OutgoingRequest:
        """Returns a request that shows whether an endpoint is alive."""
        is_engine = record.role is not membership.Role.PLAIN
        target = service.health_path.encode()
        if is_engine and not (must_name_instance and target):
            # The report takes no slot of the engine, but only the health check
            # names the instance.
            target = _names.REPORT_PATH
        return forwarding.OutgoingRequest(
            method=b"GET", target=target, headers=self._encode_address(record)
        )

    def encode_order(
        self,
        *,
        record: membership.EndpointRecord,
        role: membership.Role,
        holder: str,
        fencing_token: int,
    ) -> forwarding.OutgoingRequest:
        """Returns the order that changes an engine's role."""
        body = {
            "op": "stage",
            "stage": role.value,
            "holder": holder,
            "fencingToken": fencing_token,
        }
        return self._encode_post(_names.ORDER_PATH, record, body)

    def _encode_post(
        self, target: bytes, record: membership.EndpointRecord, body: dict
    ) -> forwarding.OutgoingRequest:
        return forwarding.OutgoingRequest(
            method=b"POST",
            target=target,
            headers=[
                (b"Content-Type", b"application/json"),
                *self._encode_address(record),
            ],
            body=json.dumps(body).encode(),
        )

    def _encode_address(self, record: membership.EndpointRecord) -> web.Headers:
        return [
            (b"Host", f"{record.host}:{record.port}".encode()),
            (_names.EXPECT_INSTANCE, record.endpoint_id.encode()),
        ]

    def answers(self, head: web.ResponseHead, *, request_id: str) -> bool:
        """Returns whether a head is that of the answer to a request."""
        echoed = head.list_values(_names.REQUEST_ID.lower()) or [b""]
        return {value.decode("latin-1") for value in echoed} == {request_id}

    def classify(
        self, head: web.ResponseHead, *, request_id: str, is_run: bool
    ) -> forwarding.AnswerKind:
        """Returns what the head of a response proves about execution."""
        if not self.answers(head, request_id=request_id):
            return forwarding.AnswerKind.FOREIGN
        if head.status == _MISDIRECTED or head.get(_names.NOT_EXECUTED.lower()):
            return forwarding.AnswerKind.NOT_RUN
        is_success = 200 <= head.status < 300
        if is_run:
            has_stamp = head.get(_names.SERVER_STAMP.lower()) is not None
            is_encoded = head.get(b"content-encoding") is not None
            if is_encoded or (is_success and not has_stamp):
                return forwarding.AnswerKind.FOREIGN
        if head.status in _NOT_RUN_STATUSES:
            # Without the X-Not-Executed header the status proves nothing.
            return forwarding.AnswerKind.FOREIGN
        if is_success:
            return forwarding.AnswerKind.SUCCESS
        return forwarding.AnswerKind.FAILURE

    def is_from_other_instance(
        self, head: web.ResponseHead, *, endpoint_id: str
    ) -> bool:
        """Returns whether another instance has refused a request."""
        # Without another id, the endpoint only refuses this kind of work.
        return head.status == _MISDIRECTED and self.names_other_instance(
            head, endpoint_id=endpoint_id
        )

    def names_other_instance(
        self, head: web.ResponseHead, *, endpoint_id: str
    ) -> bool:
        """Returns whether an answer names another instance as its sender."""
        instance = head.get(_names.INSTANCE_ID.lower())
        return (
            instance is not None and instance.decode("latin-1") != endpoint_id
        )

    def decode_notice(
        self, head: web.ResponseHead, *, endpoint_id: str, request_id: str
    ) -> dispatch.EndpointNotice:
        """Returns what an answer says about further requests."""
        echoed = head.get(_names.REQUEST_ID.lower())
        is_foreign = echoed is not None and (
            echoed.decode("latin-1") != request_id
        )
        if is_foreign or self.names_other_instance(
            head, endpoint_id=endpoint_id
        ):
            return dispatch.EndpointNotice()
        is_leaving = _IS_LEAVING in head.list_values(_names.LEAVING.lower())
        rates = head.list_values(_names.RATE.lower())
        rate_per_s, unreadable_rate = _read_rate(rates)
        notice = dispatch.EndpointNotice(
            is_leaving=is_leaving,
            rate_per_s=rate_per_s,
            unreadable_rate=unreadable_rate,
            ends_rate=not rates
            and 200 <= head.status < 300
            and echoed is not None,
        )
        if head.status != _UNAVAILABLE or (request_id and echoed is None):
            return notice
        backoff_s, unreadable_backoff = _read_backoff(
            head.list_values(_names.RETRY_AFTER.lower())
        )
        return dataclasses.replace(
            notice, backoff_s=backoff_s, unreadable_backoff=unreadable_backoff
        )

    def encode_retry_after(self, seconds: float) -> web.Headers:
        """Returns the headers that tell a caller when to retry."""
        return [(_names.RETRY_AFTER, f"{seconds:.3f}".encode())]
