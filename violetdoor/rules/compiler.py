"""Compiles rules in a separate process."""

from __future__ import annotations

import asyncio
import marshal
import subprocess
import sys
from dataclasses import replace

from violetdoor.rules.source import EXIT_INVALID_RULES, CompiledRules, RulesSource, WorkerOutput

COMPILE_TIMEOUT_SECONDS = 60.0
WORKER_COMMAND = (sys.executable, "-m", "violetdoor.rules.worker")


class RulesCompilationError(Exception):
    """The rules do not compile; the message has one line for each fault."""


class CompilerTimeoutError(RulesCompilationError):
    """The worker did not finish within the timeout."""

    def __init__(self) -> None:
        """Set the message with the timeout."""
        super().__init__(f"compilation of the rules did not finish within {COMPILE_TIMEOUT_SECONDS:.0f} s")


class CompilerFailedError(RulesCompilationError):
    """The worker failed without reporting a fault in the rules."""

    def __init__(self, status: int, errors: str) -> None:
        """Set the message with the exit status and the last line of standard error."""
        super().__init__(f"rules compiler failed with exit status {status}: {errors.splitlines()[-1:]}")
        self.status = status
        self.errors = errors


def compile_blocking(source: RulesSource) -> CompiledRules:
    """Compile and block until done, before this process serves clients; raises RulesCompilationError."""
    try:
        completed = subprocess.run(
            WORKER_COMMAND,
            input=source.serialize(),
            capture_output=True,
            timeout=COMPILE_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired as err:
        raise CompilerTimeoutError from err
    return _parse_result(source, completed.returncode, completed.stdout, completed.stderr)


async def compile_in_background(source: RulesSource) -> CompiledRules:
    """Compile without blocking the event loop; raises RulesCompilationError."""
    pipe = asyncio.subprocess.PIPE
    worker = await asyncio.create_subprocess_exec(*WORKER_COMMAND, stdin=pipe, stdout=pipe, stderr=pipe)
    try:
        async with asyncio.timeout(COMPILE_TIMEOUT_SECONDS):
            output, errors = await worker.communicate(source.serialize())
    except TimeoutError as err:
        raise CompilerTimeoutError from err
    finally:
        if worker.returncode is None:
            worker.kill()
            await worker.wait()
    return _parse_result(source, worker.returncode or 0, output, errors)


def _parse_result(source: RulesSource, status: int, output: bytes, errors: bytes) -> CompiledRules:
    """Parse the worker's output; raises RulesCompilationError with the faults that it reported."""
    if status == 0:
        result: WorkerOutput = marshal.loads(
            output
        )  # safe: written by this program under the same Python version
        return CompiledRules(replace(source, files=result["files"]), result["data"])
    text = errors.decode("utf-8", "replace").strip()
    if status != EXIT_INVALID_RULES or not text:
        raise CompilerFailedError(status, text)
    raise RulesCompilationError(text)
