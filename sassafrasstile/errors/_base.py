"""The error codes and the exceptions that carry them."""

import enum


class Code(enum.StrEnum):
    """Stable error codes, shown to callers and operators.

    Each code has a row in docs/operators/errors.md.
    """

    CONFIG_UNREADABLE = "config_unreadable"
    CONFIG_SYNTAX = "config_syntax"
    CONFIG_INVALID = "config_invalid"
    UNKNOWN_PLUGIN = "unknown_plugin"
    BAD_VALUE = "bad_value"
    INVARIANT_VIOLATED = "invariant_violated"
    LOG_UNAVAILABLE = "log_unavailable"

    REQUEST_MALFORMED = "request_malformed"
    REQUEST_TOO_LARGE = "request_too_large"
    REQUEST_INVALID = "request_invalid"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"

    NO_ENDPOINT = "no_endpoint"
    NO_CAPACITY = "no_capacity"
    QUEUE_FULL = "queue_full"
    WORKSPACE_LIMIT = "workspace_limit"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    STOPPING = "stopping"
    LEAVING = "leaving"
    WRONG_ROLE = "wrong_role"
    WRONG_INCARNATION = "wrong_incarnation"
    UNKNOWN_HOLD = "unknown_hold"
    LEASE_LAPSED = "lease_lapsed"
    SUPERSEDED = "superseded"
    CANCELLED = "cancelled"
    ENDPOINT_LOST = "endpoint_lost"
    ENGINE_FAILED = "engine_failed"
    TRANSFER_FAILED = "transfer_failed"
    SERVICE_FAILED = "service_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_LOST = "owner_lost"
    NOT_OWNER = "not_owner"
    IN_PROGRESS = "in_progress"

    NOT_CONFIGURED = "not_configured"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    KEYS_UNCONFIRMED = "keys_unconfirmed"
    QUOTA_EXCEEDED = "quota_exceeded"
    VERSION_UNKNOWN = "version_unknown"
    PROMPT_REFUSED = "prompt_refused"
    CALL_REFUSED = "call_refused"
    ANSWER_CUT = "answer_cut"
    VERSION_GONE = "version_gone"
    PREFILL_FAILED = "prefill_failed"
    HANDLE_EXPIRED = "handle_expired"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FULL = "endpoint_full"
    ENDPOINT_REPLACED = "endpoint_replaced"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_BACKOFF = "endpoint_backoff"
    ENDPOINT_RATE = "endpoint_rate"
    BAD_ANSWER = "bad_answer"
    ANSWER_TOO_LARGE = "answer_too_large"
    CALLER_GONE = "caller_gone"
    MEMORY_LIMIT = "memory_limit"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFLICT = "conflict"
    HISTORY_GONE = "history_gone"
    EPOCH_PASSED = "epoch_passed"


class Error(Exception):
    """Base class of the exceptions of this package.

    Attributes:
        code: The error code.
        detail: A sentence that describes the error.
    """

    def __init__(self, *, code: Code, detail: str):
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


class ConfigurationError(Error):
    """A configuration can't be read or isn't valid.

    Attributes:
        file: The file with the error, or an empty string.
        line: The line in the file, counted from one, or zero if unknown.
    """

    def __init__(
        self, *, code: Code, detail: str, file: str = "", line: int = 0
    ):
        location = f"{file}:{line}: " if file else ""
        super().__init__(code=code, detail=location + detail)
        self.file = file
        self.line = line


class RequestError(Error):
    """A caller's request is refused before any part of it has run.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, *, code: Code, detail: str, status: int = 400):
        super().__init__(code=code, detail=detail)
        self.status = status


class InvariantError(Error):
    """An invariant of a kernel is violated.

    Attributes:
        name: The invariant's name, as in docs/design/invariants.md.
    """

    def __init__(self, *, name: str, detail: str):
        super().__init__(
            code=Code.INVARIANT_VIOLATED, detail=f"{name}: {detail}"
        )
        self.name = name


class LogUnavailableError(Error):
    """The platform's log is unavailable.

    Attributes:
        may_have_taken_effect: True if the failed append may have been stored.
    """

    def __init__(self, *, detail: str, may_have_taken_effect: bool):
        super().__init__(code=Code.LOG_UNAVAILABLE, detail=detail)
        self.may_have_taken_effect = may_have_taken_effect
