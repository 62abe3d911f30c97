"""Gateway processes that can be signalled and restarted."""

from collections.abc import Mapping, Sequence
import os
import pathlib
import signal
import socket
import subprocess
import sys

import yaml

from sassafrasstile import testing

# Retries that the gateways of a run may add together to their share of the
# requests.
_RETRY_SLACK = 52
ARGUMENTS = ("-m", "sassafrasstile.platform")


class GatewayProcess:
    """One gateway process, which keeps its settings over restarts.

    Args:
        name: The name of the gateway.
        folder: The folder for the settings file and the output.
        store_port: The port of the store or of a proxy in front of it.
        arguments: The interpreter's arguments that start the gateway.
        bounds: Further bounds of its settings.
        memory_mb: The stated memory of its machine, or zero for none.
    """

    def __init__(
        self,
        *,
        name: str,
        folder: pathlib.Path,
        store_port: int,
        arguments: Sequence[str] = ARGUMENTS,
        bounds: Mapping[str, object] | None = None,
        memory_mb: float = 0.0,
    ):
        self.name = name
        self.port = testing.pick_port()
        self.ready_port = testing.pick_port()
        self._path = folder / f"{name}.yaml"
        self._output = folder / f"{name}.log"
        self._store_port = store_port
        self._arguments = tuple(arguments)
        self._bounds = dict(bounds or {})
        self._memory_mb = memory_mb
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        internal_port = testing.pick_port()
        settings = {
            "nodeName": self.name,
            "zone": "a",
            "ip": "127.0.0.1",
            "listen": {
                "frontend": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internalPorts": [internal_port, internal_port],
            "bounds": {
                "graceS": 8,
                "budgetSlack": _RETRY_SLACK,
                **self._bounds,
            },
            "limits": {"memoryMb": self._memory_mb},
            "platform": {"address": f"127.0.0.1:{self._store_port}"},
        }
        self._path.write_text(yaml.safe_dump(settings))
        environment = {**os.environ, "SASSAFRASSTILE_BOOT": str(self._path)}
        with open(self._output, "ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                env=environment,
                stdout=output,
                stderr=output,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code of a process that has ended, or None."""
        return self._process.poll()

    def accepts_callers(self) -> bool:
        """Returns whether its port for callers is open."""
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self.port)) == 0

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.is_running:
            self._process.send_signal(number)

    def close(self) -> None:
        """Kills the process, even if it is suspended, and waits for it."""
        if self.is_running:
            self.send(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
