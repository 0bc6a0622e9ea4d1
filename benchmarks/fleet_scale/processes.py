"""Child processes of a run: start, output, resource usage from /proc, and termination."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

MAX_LINE_BYTES = 1 << 20  # limit of one line of stdout or stderr
STDERR_TAIL_LINES = 30  # last lines of stderr that are kept for the report of a failure
TERMINATE_TIMEOUT_S = 8.0  # from SIGTERM until the process is killed
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")  # per second, the unit of CPU times in /proc

LineHandler = Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process since its start."""

    cpu: float  # seconds of CPU time
    rss_kib: int
    rss_peak_kib: int
    descriptors: int


class Process:
    """One child process."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.stderr_tail: deque[str] = deque(maxlen=STDERR_TAIL_LINES)
        self.end_expected = False  # the harness has ended or stopped it, so its end is no failure
        self.reader_tasks: list[asyncio.Task[None]] = []

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def running(self) -> bool:
        return self.process.returncode is None

    def usage(self) -> Usage | None:
        """Return its resource usage, or None if it has ended."""
        folder = Path("/proc") / str(self.pid)
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            status = (folder / "status").read_text()
            descriptors = len(os.listdir(folder / "fd"))
        except OSError:
            return None
        if "VmRSS:" not in status:  # zombie process
            return None
        cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
        return Usage(cpu, _kib(status, "VmRSS:"), _kib(status, "VmHWM:"), descriptors)

    def send(self, line: bytes) -> None:
        """Write a line to its stdin, if it still runs."""
        if self.process.stdin is not None and self.running:
            self.process.stdin.write(line + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill it with SIGKILL."""
        self.end_expected = True
        self.signal(signal.SIGKILL)

    async def end(self) -> None:
        """Terminate it with SIGTERM; kill it if it doesn't exit within TERMINATE_TIMEOUT_S."""
        self.end_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERMINATE_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.kill()
            await self.process.wait()


def _kib(status: str, field: str) -> int:
    return int(status.partition(field)[2].split()[0])


class Processes:
    """All child processes of a run. Leaving the context kills those that still run, even on an exception."""

    def __init__(self) -> None:
        self.all: list[Process] = []

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(self, *_: object) -> None:
        for child in self.all:
            if child.running:
                child.kill()
        await asyncio.gather(*(child.process.wait() for child in self.all))
        readers = [task for child in self.all for task in child.reader_tasks]
        await asyncio.gather(*readers, return_exceptions=True)

    async def start(
        self, name: str, arguments: Sequence[str], folder: Path, on_line: LineHandler | None = None
    ) -> Process:
        """Start `python -m` with these arguments; `on_line` is called with each line of its stdout."""
        scratch = folder / f"tmp-{name}"
        scratch.mkdir(exist_ok=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *arguments,
            env=os.environ | {"TMPDIR": str(scratch)}, limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE if on_line is not None else asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if on_line is not None else asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        child = Process(name, process)
        self.all.append(child)
        loop = asyncio.get_running_loop()
        child.reader_tasks.append(loop.create_task(self._collect_stderr(child)))
        if on_line is not None:
            child.reader_tasks.append(loop.create_task(self._forward_lines(child, on_line)))
        return child

    def failures(self) -> list[str]:
        """Describe each process that ended unexpectedly, with the end of its stderr."""
        found = []
        for child in self.all:
            if child.running or child.end_expected:
                continue
            last = " | ".join(list(child.stderr_tail)[-3:])
            found.append(f"{child.name} ended with status {child.process.returncode}: {last}")
        return found

    @staticmethod
    async def _collect_stderr(child: Process) -> None:
        assert child.process.stderr is not None
        while line := await child.process.stderr.readline():
            child.stderr_tail.append(line.decode("utf-8", "replace").strip()[:500])

    @staticmethod
    async def _forward_lines(child: Process, on_line: LineHandler) -> None:
        assert child.process.stdout is not None
        while line := await child.process.stdout.readline():
            on_line(line)
