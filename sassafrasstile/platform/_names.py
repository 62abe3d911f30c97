"""The platform's names: headers, paths and topics.

A test reads this table and asserts that no other module uses these names.
"""

# Headers of callers' requests. Endpoints get them unchanged, except for the
# remaining time and, when a stream is resumed, the last event id.
REQUEST_ID = b"X-Attempt-Id"
TOKEN_COUNT = b"X-Token-Count"
# The parts of the prompt as ID:TOKENS, separated by commas.
PROMPT_PARTS = b"X-Prompt-Prefix"
LAST_EVENT_ID = b"Last-Event-Id"
# The id of the attempt that brought the first event of a resumed stream.
RESUMES = b"Resumes"
DEADLINE_MS = b"X-Deadline-Ms"

# Names the caller's key, after a scheme.
AUTHORIZATION = b"Authorization"
KEY_SCHEME = b"Token"

# Headers that only gateways may set on requests to endpoints; callers' values
# are dropped.
EXPECT_INSTANCE = b"X-Expect-Instance"
STAGE = b"X-Stage"
KV_SOURCE = b"X-Kv-Source"
KV_HOLD = b"X-Kv-Hold"
PRIORITY = b"X-Request-Priority"
# The workspace's name, where the configuration has workspaces.
WORKSPACE = b"X-Tenant"
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        b"X-Kv-Backup",
        b"X-Pin-Ms",
        b"X-Expect-Version",
        PRIORITY,
        b"Kv-Fetch",
    )
)

# Headers of responses.
SERVER_STAMP = b"X-Server-Stamp"
NOT_EXECUTED = b"X-Not-Executed"
INSTANCE_ID = b"X-Instance-Id"
RETRY_AFTER = b"Retry-After"
LEAVING = b"Server-Leaving"
# Requests a second that the endpoint takes from all gateways together.
RATE = b"Server-Limit"

# Paths and values in calls to endpoints.
HANDLE_PATH = b"/sassafrasstile/kv-handle/"
HOLD_PATH = b"/sassafrasstile/hold-take"
HOLD_RELEASE_PATH = b"/sassafrasstile/hold-drop/"
ORDER_PATH = b"/sassafrasstile/order"
REPORT_PATH = b"/sassafrasstile/report"
PREFILL_STAGE = b"prefill"

# The header with the store's epoch, which rises at each restore from a copy.
STORE_ERA = b"Store-Era"

# Paths that gateways serve.
READY_PATH = "/sassafrasstile/readyz"

# Paths, topics and keys of the store.
READ_PATH = b"/sassafrasstile/log-read"
APPEND_PATH = b"/sassafrasstile/log-append"
NEWEST_PATH = b"/sassafrasstile/log-newest"
CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
MEMBERSHIP_TOPIC = "keyed.servers"
# Topics that only gateways use: the gateway that may order role changes, and
# the gateways' addresses.
LEASE_TOPIC = "keyed.orders"
PEER_TOPIC = "keyed.gateways"

# The environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "SASSAFRASSTILE_BOOT"
