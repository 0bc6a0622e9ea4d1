"""Measure the memory of an idle relay: `python -m benchmarks.footprint [ROUNDS]`.

The relay is started as the platform starts it, with a JSON file as its only configuration. Each round starts a
new process; the result is the median of VmRSS once the relay listens.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.machine import describe_machine

ROOT = Path(__file__).parent.parent


def relay_settings() -> dict[str, object]:
    """Return a platform's configuration file with two request classes and no server."""
    classes = [
        {"name": n, "goalTime": 300.0, "hardLimit": 1200.0, "worth": 1.0} for n in ("checkin", "booking")
    ]
    balancer_settings = {
        "classes": classes, "familyInfo": {"messageAim": [250.0, 50.0], "tellsDelay": True},
        "policyLimits": {"sendCap": 3, "retryAfter": True, "maxRetryAfter": 900.0, "connectTimeout": 200.0},
        "discovery": "on_request", "locality": "a", "balancers": 1, "period": 4.0,
        "rules": {"askWithin": 2000.0}, "report": {"how": "none"},
    }  # fmt: skip
    return {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1", "known": {},
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "settings": balancer_settings}  # fmt: skip


def relay_rss_kib(args: list[str]) -> int:
    """Start a relay, wait until it listens, and return its VmRSS in KiB."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(relay_settings()))
        env = {k: v for k, v in os.environ.items() if k != "TMPDIR"} | {"BALANCER_CONFIG": str(path)}
        process = subprocess.Popen(
            [sys.executable, *args], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )
        assert process.stderr is not None
        for line in process.stderr:
            if "listening on" in line:
                break
        status = Path(f"/proc/{process.pid}/status").read_text()
        process.kill()
        process.communicate()
    return int(status.partition("VmRSS:")[2].split()[0])


def main() -> int:
    """Measure and print the median, the minimum and the maximum."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 15
    rss_kib = [relay_rss_kib(["-m", "violetdoor"]) for _ in range(rounds)]
    print(
        f"{describe_machine()}\nplain run: median {statistics.median(rss_kib):.0f} KiB, {min(rss_kib)} to {max(rss_kib)}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
