"""A site of real processes on loopback that tests can kill or suspend."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import yaml

from sassafrasstile.testing import _ports

_PREFIX = (sys.executable, "-m", "sassafrasstile")
_EXIT_TIMEOUT_S = 20.0


def _pick_ports(count: int) -> list[int]:
    return [_ports.pick_port() for _ in range(count)]


class ChildProcess:
    """A process that runs a command of the project.

    Args:
        arguments: The command-line arguments after the program's name.
    """

    def __init__(self, *, arguments: list[str]):
        self.arguments = arguments
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process, or starts it again after its exit."""
        self._process = subprocess.Popen(
            [*_PREFIX, *self.arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        os.kill(self._process.pid, signal_number)

    def poll(self) -> int | None:
        """Returns the exit code, or None while the process runs."""
        return self._process.poll()

    def close(self) -> None:
        """Kills the process if it runs, even when it is suspended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait(_EXIT_TIMEOUT_S)


class ProcessSite:
    """Stand-ins, sidecars and gateways, each in its own process.

    Args:
        prefills: Number of prefill endpoints.
        decodes: Number of decode endpoints.
        services: Number of service endpoints.
        gateways: Number of gateways.
        step_s: Seconds that each engine takes per generated token.
        work_s: Seconds that each service takes per call.
        changes: Overlay settings, merged over the base settings.
    """

    def __init__(
        self,
        *,
        prefills: int = 1,
        decodes: int = 2,
        services: int = 1,
        gateways: int = 2,
        step_s: float = 0.02,
        work_s: float = 0.02,
        changes: dict | None = None,
    ):
        self._counts = {
            "prefill": prefills,
            "decode": decodes,
            "service": services,
        }
        self._gateway_count = gateways
        self._step_s = step_s
        self._work_s = work_s
        self._changes = changes or {}
        self._folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, ChildProcess] = {}
        self.urls: dict[str, str] = {}

    def start(self) -> None:
        """Starts every process."""
        tree = self._make_tree()
        folder = pathlib.Path(self._folder.name)
        base = folder / "base.yaml"
        base.write_text(yaml.safe_dump(tree))
        overlay = folder / "overlay.yaml"
        overlay.write_text(yaml.safe_dump(self._changes))
        files = ["--config", str(base), "--overlay", str(overlay)]
        for name in tree["endpoints"]:
            self._add(name, ["sidecar", "--name", name, *files])
        for name in tree["gateways"]:
            self._add(name, ["gateway", "--name", name, *files])
        for process in self.processes.values():
            process.start()

    def _add(self, name: str, arguments: list[str]) -> None:
        self.processes[name] = ChildProcess(arguments=arguments)

    def _make_tree(self) -> dict:
        endpoints = {
            f"{role}-{index}": self._make_endpoint(role, index)
            for role, count in self._counts.items()
            for index in range(1, count + 1)
        }
        log_port, vms_port = _pick_ports(2)
        self._add_standin("log", "log", log_port, [])
        self._add_standin("vms", "vms", vms_port, [])
        gateways = {}
        for index in range(1, self._gateway_count + 1):
            http, admin = _pick_ports(2)
            name = f"gateway-{index}"
            self.urls[name] = f"http://127.0.0.1:{http}"
            self.urls[name + "-admin"] = f"http://127.0.0.1:{admin}"
            gateways[name] = {
                "http": f"127.0.0.1:{http}",
                "admin": f"127.0.0.1:{admin}",
            }
        return {
            "site": {"name": "processes"},
            "logging": {"level": "warning"},
            "log": {"url": self.urls["log"]},
            "liveness": {"url": self.urls["vms"]},
            "stop": {"notice_s": 0.2, "grace_s": 30},
            "models": {"writer": {}},
            "services": {
                "desk": {
                    "rules": [
                        {"method": "GET", "repeatable": True, "limit_s": 8},
                        {"repeatable": False, "limit_s": 8},
                    ]
                }
            },
            "gateways": gateways,
            "endpoints": endpoints,
        }

    def _make_endpoint(self, role: str, index: int) -> dict:
        name = f"{role}-{index}"
        sidecar, admin, port = _pick_ports(3)
        self.urls[name + "-admin"] = f"http://127.0.0.1:{admin}"
        if role == "service":
            options = ["--work-s", str(self._work_s)]
            self._add_standin(f"{name}-target", "service", port, options)
        else:
            options = ["--step-s", str(self._step_s)]
            self._add_standin(f"{name}-target", "engine", port, options)
        return {
            "role": role,
            "serves": "desk" if role == "service" else "writer",
            "sidecar": f"127.0.0.1:{sidecar}",
            "admin": f"127.0.0.1:{admin}",
            "url": f"http://127.0.0.1:{port}",
            "vm": f"vm-{name}",
        }

    def _add_standin(
        self, name: str, kind: str, port: int, options: list[str]
    ) -> None:
        self.urls[name] = f"http://127.0.0.1:{port}"
        listen = f"127.0.0.1:{port}"
        self._add(name, ["standin", kind, "--listen", listen, *options])

    def find_exited(self) -> list[str]:
        """Returns the names of the processes that have exited."""
        return sorted(
            name
            for name, process in self.processes.items()
            if process.poll() is not None
        )

    def close(self) -> None:
        """Kills all running processes and removes the settings files."""
        for process in self.processes.values():
            process.close()
        self._folder.cleanup()
