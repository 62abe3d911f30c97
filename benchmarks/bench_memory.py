"""Measures the resident memory of imports and of kernel state.

Usage: python benchmarks/bench_memory.py

Prints one JSON object per row, in megabytes. Each row is measured in a new
child process, so that rows do not affect each other.
"""

import json
import subprocess
import sys

_SNIPPETS = {
    "python": "",
    "kernels": "import sassafrasstile.gateway, sassafrasstile.sidecar",
    "twisted_web": "import twisted.web.server, twisted.web.client",
    "grpclib": "import grpclib.server, grpclib.client",
    "wire": "import sassafrasstile.wire",
    "pydantic": "import pydantic",
    "settings": "import sassafrasstile.settings",
    "prometheus": "import prometheus_client",
    "frontend": "import sassafrasstile.frontend",
    "daemons": "import sassafrasstile.daemons",
    "workspaces_6000": """
from sassafrasstile import frontend, settings
workspaces = {f"workspace-{i}": settings.WorkspaceSettings()
              for i in range(6000)}
frontend.CallerDirectory(workspaces=workspaces).start()
""",
    "claims_100000": """
from sassafrasstile import ownership
state = ownership.OwnershipState(claim_retention_s=1e9)
member = ownership.Member(endpoint="s", incarnation="i", vm="v")
def add(offset, record):
    state.apply(ownership.LogEntry(
        offset=offset, at=0.0, body=ownership.encode_record(record)))
add(0, ownership.Join(member=member))
for i in range(1000):
    keys = tuple(f"workspace-17/booking-{i}-{j}" for j in range(100))
    add(i + 1, ownership.Claim(endpoint="s", incarnation="i", keys=keys))
""",
    "ownership": "from sassafrasstile import ownership",
}
_PRINT_RESIDENT = """
import pathlib, os
print(int(pathlib.Path("/proc/self/statm").read_text().split()[1])
      * os.sysconf("SC_PAGE_SIZE"))
"""


def main() -> None:
    for name, code in _SNIPPETS.items():
        result = subprocess.run(
            [sys.executable, "-c", code + _PRINT_RESIDENT],
            capture_output=True,
            text=True,
            check=True,
        )
        row = {"state": name, "resident_mb": int(result.stdout) / 1e6}
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
