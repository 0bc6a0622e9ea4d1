"""Relays as processes of the real program, with their resource usage; each is stopped by its process id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sys
from pathlib import Path
from types import TracebackType
from typing import Any

import orjson

from benchmarks.capacity.records import ROOT

Address = tuple[str, int]

CONSOLE_HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0  # after SIGTERM; then SIGKILL
CALL_TIMEOUT_SECONDS = 5.0
BASE_SETTINGS: dict[str, Any] = {
    "front": "line", "listen": "127.0.0.1:0", "line": {"tenants": ["club"]},
    "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 5_000, "message_aim_ms": 250}],
}  # fmt: skip


class Relay:
    """One process, started with a configuration of `settings` merged over `BASE_SETTINGS`."""

    def __init__(self, folder: Path, settings: dict[str, Any], name: str = "relay-1") -> None:
        self.folder, self.name = folder, name
        self.settings = BASE_SETTINGS | {"name": name} | settings
        self.address: Address = ("", 0)
        self.console: Address = ("", 0)

    async def __aenter__(self) -> Relay:
        path = self.folder / f"{self.name}.json"
        path.write_bytes(orjson.dumps(self.settings))
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", "--config", str(path), cwd=ROOT,
            env=os.environ | {"TMPDIR": str(temporary)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.listening = asyncio.Event()
        self.reader_task = asyncio.create_task(self._read())
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await self.listening.wait()
        if self.address[1] == 0:
            raise RuntimeError(
                f"{self.name} exited before it was listening; its last line was: {self.last_line}"
            )
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        self.last_line = ""
        while line := (await self.process.stderr.readline()).decode("utf-8", "replace"):
            self.last_line = line
            if found := re.search(r"(console|listening) on ([\d.]+):(\d+)", line):
                address = found[2], int(found[3])
                if found[1] == "console":
                    self.console = address
                else:
                    self.address = address
                    self.listening.set()
        self.listening.set()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.reader_task

    def processor_seconds(self) -> float:
        """Return seconds of processor time of all threads since the start, accurate to about a microsecond."""
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        spent = sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)
        return spent / 1e9

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) * 1024


async def call_console(address: Address, path: str) -> str:
    """Call a path of the console and return the body of the response. Raises OSError if there is none."""
    async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: capacity\r\n\r\n".encode())
        response = await reader.read(-1)
        writer.close()
        return response.decode().partition("\r\n\r\n")[2]
