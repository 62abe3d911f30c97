"""Decodes the platform's settings file."""

import os

import yaml

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import router
from sassafrasstile.platform import _models
from sassafrasstile.platform import _names


class _Listen(_models.Document):
    frontend: str
    ready: str


class _Bounds(_models.Document):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    lease_ms: float = 3000.0
    config_apply_ms: float = 2000.0
    drain_ms: float = 2000.0


class _Store(_models.Document):
    address: str


class _File(_models.Document):
    node_name: str
    zone: str
    ip: str
    listen: _Listen
    # The first and the last port that this system's processes may use.
    internal_ports: tuple[int, int]
    bounds: _Bounds = _Bounds()
    platform: _Store


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `HOST:PORT`.

    Raises:
        ValueError: It has another form.
    """
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"address is {address!r}; allowed is HOST:PORT")
    return host, int(port)


class SettingsFile(router.SettingsSource):
    """The settings file that the environment names.

    Args:
        metrics_port: The port of the metrics, or zero for none.
    """

    def __init__(self, *, metrics_port: int = 0):
        self._path = os.environ.get(_names.SETTINGS_VARIABLE, "")
        self._metrics_port = metrics_port
        self._seen: tuple[int, int, int] | None = None

    def read(self) -> router.RouterSettings:
        """Reads the settings."""
        path = self._path
        self._seen = self._describe()
        try:
            with open(path, encoding="utf-8") as file:
                document = yaml.safe_load(file)
            return _decode(document, metrics_port=self._metrics_port)
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
        """Says whether the file has changed since it was read."""
        return self._describe() != self._seen

    def _describe(self) -> tuple[int, int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # It is being replaced; what was read last stays in force.
            return self._seen
        return status.st_ino, status.st_mtime_ns, status.st_size


def _decode(document: object, *, metrics_port: int) -> router.RouterSettings:
    file = _File.model_validate(document)
    _, port = split_address(file.listen.frontend)
    _, ready_port = split_address(file.listen.ready)
    store_host, store_port = split_address(file.platform.address)
    return router.RouterSettings(
        name=file.node_name,
        zone=file.zone,
        host=file.ip,
        port=port,
        ready_port=ready_port,
        ready_path=_names.READY_PATH,
        metrics_port=metrics_port,
        peer_port=file.internal_ports[0],
        store_host=store_host,
        store_port=store_port,
        grace_s=file.bounds.grace_s,
        notice_s=min(file.bounds.config_apply_ms, file.bounds.drain_ms)
        / _models.MS_PER_S,
        lease_s=file.bounds.lease_ms / _models.MS_PER_S,
        dispatch=dispatch.DispatchSettings(
            retry_ratio=file.bounds.retry_budget_ratio,
            retry_window_s=file.bounds.retry_window_s,
        ),
    )
