"""Prometheus metrics of each kind of process."""

import prometheus_client

from sassafrasstile.telemetry import _labels

_PREFIX = "sassafrasstile_"
_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.74, 1, 2, 5, 10, 30, 60)
_PER_TOKEN_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.3, 1)


class _ProcessMetrics:
    """Metrics with a registry of their own.

    Attributes:
        registry: The registry that holds only these metrics.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()

    def _make_counter(
        self, name: str, description: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            _PREFIX + name, description, labels, registry=self.registry
        )

    def _make_gauge(
        self, name: str, description: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            _PREFIX + name, description, labels, registry=self.registry
        )

    def _make_histogram(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...] = (),
        *,
        buckets: tuple[float, ...],
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            _PREFIX + name,
            description,
            labels,
            buckets=buckets,
            registry=self.registry,
        )


class GatewayMetrics(_ProcessMetrics):
    """Metrics of a gateway that calls endpoints through sidecars."""

    def __init__(self):
        super().__init__()
        self.requests = self._make_counter(
            "requests",
            "Requests by kind and outcome.",
            ("kind", "outcome"),
        )
        self.in_flight = self._make_gauge(
            "requests_in_flight",
            "Requests without a final answer.",
        )
        self.first_token = self._make_histogram(
            "first_token_seconds",
            "Seconds from a request's arrival to its first token.",
            buckets=_FIRST_TOKEN_BUCKETS,
        )
        self.per_token = self._make_histogram(
            "per_token_seconds",
            "Mean seconds a token after a request's first one.",
            buckets=_PER_TOKEN_BUCKETS,
        )
        self.violations = self._make_counter(
            "invariant_violations",
            "Invariants found broken, by name.",
            ("name",),
        )


class SidecarMetrics(_ProcessMetrics):
    """Metrics of a sidecar."""

    def __init__(self):
        super().__init__()
        self.held = self._make_gauge(
            "held",
            "Requests that hold engine memory, or calls that run.",
        )
        self.free_slots = self._make_gauge(
            "free_slots",
            "Slots without a hold.",
        )
        self.violations = self._make_counter(
            "invariant_violations",
            "Invariants found broken, by name.",
            ("name",),
        )


class RouterMetrics(_ProcessMetrics):
    """Metrics of a gateway that calls endpoints directly.

    Attributes:
        workspaces: Chooses the labels of workspaces.
        ranks: Chooses the labels of ranks.
    """

    def __init__(self):
        super().__init__()
        self.requests = self._make_counter(
            "requests", "Requests by kind and outcome.", ("kind", "outcome")
        )
        self.attempts = self._make_counter(
            "attempts", "Requests sent to endpoints, prefills included."
        )
        self.retries_denied = self._make_counter(
            "retries_denied", "Retries that the budget didn't allow."
        )
        self.handles_released = self._make_counter(
            "handles_released",
            "Finished prefills freed without a decode.",
        )
        self.probes = self._make_counter(
            "probes", "Probes of unreachable endpoints."
        )
        self.drain_notices = self._make_counter(
            "drain_notices", "Endpoints that announced that they leave."
        )
        self.backoffs_asked = self._make_counter(
            "backoffs_asked", "Back-offs begun or extended by endpoints."
        )
        self.sends_denied = self._make_counter(
            "sends_denied",
            "Requests not sent, since the endpoint wants none, by reason.",
            ("reason",),
        )
        self.workspaces = _labels.BoundedLabels()
        self.ranks = _labels.BoundedLabels()
        self.workspace_refusals = self._make_counter(
            "workspace_refusals",
            "Requests refused as not run, by workspace and reason.",
            ("workspace", "reason"),
        )
        self.quota_used = self._make_counter(
            "quota_used",
            "What requests were charged to quotas, by workspace.",
            ("workspace",),
        )
        self.quota_refunded = self._make_counter(
            "quota_refunded",
            "What was given back for requests not run, by workspace.",
            ("workspace",),
        )
        self.quota_leased = self._make_gauge(
            "quota_leased",
            "What is leased of quotas and not used yet, by workspace.",
            ("workspace",),
        )
        self.reads_too_large = self._make_counter(
            "reads_too_large",
            "Answers cut off at a bound on what is read, by bound.",
            ("bound",),
        )
        self.foreign_answers = self._make_counter(
            "foreign_answers",
            "Answers of endpoints that named another request, or none.",
        )
        self.callers_stalled = self._make_counter(
            "callers_stalled",
            "Callers disconnected, since they read nothing.",
        )
        self.buffered_bytes = self._make_gauge(
            "buffered_bytes", "Bytes buffered for all requests."
        )
        self.buffers_dropped = self._make_counter(
            "buffers_dropped",
            "Answers and callers given up, since too much was buffered.",
        )
        self.endpoints_leaving = self._make_gauge(
            "endpoints_leaving", "Endpoints that have announced to leave."
        )
        self.endpoints_backing_off = self._make_gauge(
            "endpoints_backing_off",
            "Endpoints that want no requests for a while.",
        )
        self.endpoint_slowness = self._make_gauge(
            "endpoint_slowness",
            "Learned duration of work as a multiple of what is typical of the"
            " service, by kind of work and percentile of the endpoints.",
            ("kind", "percentile"),
        )
        self.endpoints_with_rate = self._make_gauge(
            "endpoints_with_rate",
            "Incarnations of endpoints known to name the rate that they take.",
        )
        self.prompts_refused = self._make_gauge(
            "prompts_refused",
            "Sets of prompt parts that are refused, since engines were lost.",
        )
        self.key_belief_age = self._make_gauge(
            "key_belief_age_seconds",
            "Seconds since the keys in force were surely the newest ones.",
        )
        self.key_confirmations = self._make_counter(
            "key_confirmations",
            "Confirmations of the keys in force, by what has confirmed them.",
            ("source",),
        )
        self.store_calls = self._make_counter(
            "store_calls", "Calls to the store by outcome.", ("outcome",)
        )
        self.resumptions = self._make_counter(
            "resumptions",
            "Streams that callers take up again, by outcome.",
            ("outcome",),
        )
        self.store_epochs = self._make_counter(
            "store_epochs",
            "Changes of the store's epoch, which rises at each restore.",
        )
        self.log_lines_dropped = self._make_counter(
            "log_lines_dropped", "Log lines dropped to stay within bounds."
        )
        self.waiting = self._make_gauge(
            "generations_waiting",
            "Generations that wait for capacity, by rank.",
            ("rank",),
        )
        self.admissions = self._make_counter(
            "admissions",
            "Decisions on generations' capacity, by rank and outcome.",
            ("rank", "outcome"),
        )
        self.admission_wait = self._make_histogram(
            "admission_wait_seconds",
            "Seconds that generations waited for capacity, by rank.",
            ("rank",),
            buckets=_FIRST_TOKEN_BUCKETS,
        )
        self.admitted_tokens = self._make_counter(
            "admitted_tokens",
            "KV cache granted, in tokens, by workspace.",
            ("workspace",),
        )
        self.latency = self._make_histogram(
            "latency_seconds",
            "Seconds from a request's arrival to its end.",
            ("kind",),
            buckets=_FIRST_TOKEN_BUCKETS,
        )
        self.first_token = self._make_histogram(
            "first_token_seconds",
            "Seconds from a request's arrival to its first token.",
            buckets=_FIRST_TOKEN_BUCKETS,
        )
