"""Decodes the platform's settings file."""

import os

import pydantic
import yaml

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import permits
from sassafrasstile import router
from sassafrasstile import web
from sassafrasstile.platform import _addresses
from sassafrasstile.platform import _models
from sassafrasstile.platform import _names

_BYTES_PER_MB = 1000000
# Most of a VM's memory is taken by the process itself.
_BUFFERED_MEMORY_SHARE = 0.15


class _Listen(_models.Document):
    frontend: str
    ready: str


class _Bounds(_models.Document):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    budget_slack: float = 0.0
    lease_ms: float = 3000.0
    config_apply_ms: float = 2000.0
    drain_ms: float = 2000.0
    revoke_ms: float = 5000.0
    revoke_fail_closed: bool = False
    quota_window_s: float = 0.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


class _Store(_models.Document):
    address: str


class _ReadBounds(_models.Document):
    """Bounds in bytes on what is read from endpoints and the store."""

    head_bytes: int = web.ReadBounds.head_bytes
    control_bytes: int = web.ReadBounds.control_bytes
    answer_bytes: int = web.ReadBounds.answer_bytes
    event_bytes: int = web.ReadBounds.event_bytes
    store_bytes: int = web.ReadBounds.store_bytes


_DEFAULT_CALLER_STALL_MS = web.DEFAULT_CALLER_STALL_S * _models.MS_PER_S


class _Limits(_models.Document):
    memory_mb: float = pydantic.Field(default=0.0, ge=0)


class _SettingsDocument(_models.Document):
    node_name: str
    zone: str
    ip: str
    listen: _Listen
    # First and last port that gateway processes may use.
    internal_ports: tuple[int, int]
    heartbeat_ms: float = 1200.0
    bounds: _Bounds = _Bounds()
    platform: _Store
    read_bounds: _ReadBounds = _ReadBounds()
    limits: _Limits = _Limits()
    # Computed from the VM's memory unless it is set.
    max_buffered_bytes: int | None = pydantic.Field(default=None, gt=0)
    caller_stall_ms: float = pydantic.Field(
        default=_DEFAULT_CALLER_STALL_MS, gt=0
    )


class SettingsFile(router.SettingsSource):
    """The settings file that the environment names.

    Args:
        metrics_port: The port of the metrics, or zero for none.
    """

    def __init__(self, *, metrics_port: int = 0):
        self._path = os.environ.get(_names.SETTINGS_VARIABLE, "")
        self._metrics_port = metrics_port
        self._fingerprint: tuple[int, int, int] | None = None

    def read(self) -> router.RouterSettings:
        """Reads the settings."""
        path = self._path
        self._fingerprint = self._read_fingerprint()
        try:
            with open(path, encoding="utf-8") as file:
                raw = yaml.load(file, Loader=_addresses.LOADER)
            return _decode(raw, metrics_port=self._metrics_port)
        except OSError as reason:
            code = errors.Code.CONFIG_UNREADABLE
            detail = str(reason)
        except yaml.YAMLError as reason:
            code = errors.Code.CONFIG_SYNTAX
            detail = str(reason)
        except ValueError as reason:
            code = errors.Code.CONFIG_INVALID
            detail = str(reason)
        raise errors.ConfigurationError(code=code, detail=detail, file=path)

    def has_changed(self) -> bool:
        """Returns whether the file has changed since the last read."""
        return self._read_fingerprint() != self._fingerprint

    def _read_fingerprint(self) -> tuple[int, int, int] | None:
        """Returns values that change with each write of the file."""
        try:
            status = os.stat(self._path)
        except OSError:
            # The file is being replaced; the settings read last stay in use.
            return self._fingerprint
        return status.st_ino, status.st_mtime_ns, status.st_size


def _choose_max_buffered_bytes(document: _SettingsDocument) -> int:
    if document.max_buffered_bytes is not None:
        return document.max_buffered_bytes
    memory_bytes = document.limits.memory_mb * _BYTES_PER_MB
    share = int(_BUFFERED_MEMORY_SHARE * memory_bytes)
    return share or web.DEFAULT_MAX_BUFFERED_BYTES


def _choose_max_key_age_s(bounds: _Bounds) -> float | None:
    if not bounds.revoke_fail_closed:
        return None
    return bounds.revoke_ms / _models.MS_PER_S


def _decode(raw: object, *, metrics_port: int) -> router.RouterSettings:
    document = _SettingsDocument.model_validate(raw)
    _, port = _addresses.split_address(document.listen.frontend)
    _, ready_port = _addresses.split_address(document.listen.ready)
    store_host, store_port = _addresses.split_address(document.platform.address)
    return router.RouterSettings(
        name=document.node_name,
        zone=document.zone,
        host=document.ip,
        port=port,
        ready_port=ready_port,
        ready_path=_names.READY_PATH,
        metrics_port=metrics_port,
        peer_port=document.internal_ports[0],
        store_host=store_host,
        store_port=store_port,
        grace_s=document.bounds.grace_s,
        propagation_limit_s=min(
            document.bounds.config_apply_ms, document.bounds.drain_ms
        )
        / _models.MS_PER_S,
        max_key_age_s=_choose_max_key_age_s(document.bounds),
        quota_bounds=permits.QuotaBounds(
            window_s=document.bounds.quota_window_s,
            overshoot=document.bounds.quota_overshoot,
            slack=document.bounds.quota_slack,
        ),
        heartbeat_s=document.heartbeat_ms / _models.MS_PER_S,
        lease_s=document.bounds.lease_ms / _models.MS_PER_S,
        dispatch=dispatch.DispatchSettings(
            retry_ratio=document.bounds.retry_budget_ratio,
            retry_slack=document.bounds.budget_slack,
            retry_window_s=document.bounds.retry_window_s,
        ),
        max_buffered_bytes=_choose_max_buffered_bytes(document),
        caller_stall_s=document.caller_stall_ms / _models.MS_PER_S,
        read_bounds=web.ReadBounds(**document.read_bounds.model_dump()),
    )
