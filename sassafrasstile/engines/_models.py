"""What an engine's answers have to hold."""

import pydantic


class _KvTransferParams(pydantic.BaseModel):
    remote_handle: str


class _Usage(pydantic.BaseModel):
    computed_tokens: int


class PrefillAnswer(pydantic.BaseModel):
    """The answer to a prefill."""

    kv_transfer_params: _KvTransferParams
    usage: _Usage


class WorkList(pydantic.BaseModel):
    """The list of the work that an engine holds."""

    requests: list[str]
