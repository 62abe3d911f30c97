"""Small stand-ins for outside systems, for demos and tests.

Each implements the interface in docs/interfaces.md. The models do no I/O, so
that the soak can use them under a virtual clock.
"""

from sassafrasstile.standins._engine_model import (
    EngineModel,
    EngineSpeed,
    Evicted,
    Generated,
    NotAcceptedError,
    PrefillDone,
    generate_text,
    generate_tokens,
)
from sassafrasstile.standins._engine_server import EngineServer
from sassafrasstile.standins._log_model import (
    LogDownError,
    LogModel,
    LogRecord,
    LogLimits,
)
from sassafrasstile.standins._log_server import LogServer
from sassafrasstile.standins._platform_endpoint import (
    SILENCE,
    EndpointAnswer,
    EndpointRequest,
    Segment,
    PlatformEndpoint,
    RepeatingScript,
    add_header,
    announce_leaving,
    make_answer,
    make_handle,
    make_health,
    make_hold,
    make_misdirected,
    make_refusal,
    make_stream,
    state_rate,
)
from sassafrasstile.standins._platform_store import (
    PlatformStoreServer,
    StoreCopy,
)
from sassafrasstile.standins._service_server import ServiceServer
from sassafrasstile.standins._vms_server import VmsServer

__all__ = [
    "SILENCE",
    "EndpointAnswer",
    "EndpointRequest",
    "Segment",
    "RepeatingScript",
    "add_header",
    "announce_leaving",
    "PlatformEndpoint",
    "PlatformStoreServer",
    "EngineModel",
    "EngineServer",
    "EngineSpeed",
    "Evicted",
    "Generated",
    "LogDownError",
    "LogModel",
    "LogRecord",
    "LogServer",
    "LogLimits",
    "NotAcceptedError",
    "PrefillDone",
    "ServiceServer",
    "StoreCopy",
    "VmsServer",
    "generate_text",
    "generate_tokens",
    "make_answer",
    "make_handle",
    "make_health",
    "make_hold",
    "make_misdirected",
    "make_refusal",
    "make_stream",
    "state_rate",
]
