"""The health check of a server: one command on a connection of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING

from violetdoor.balancing.events import AttemptResult, HealthCheckEnded
from violetdoor.fronts.line.load_report import parse_load_report
from violetdoor.net.line_socket import LineSocket, LineTooLongError
from violetdoor.net.sockets import connect, send_buffers

if TYPE_CHECKING:
    from violetdoor.fronts.line.front_protocol import Front

TIMEOUT_SECONDS = 0.5  # for the answer, from when the connection is up


async def check_server(front: Front, server: str) -> HealthCheckEnded:
    """Check that a server answers; request its load report where the settings say that checks bring one.

    Guards against checks without a report where the decision module expects one: it would know no server's
    load and would treat each server as new.
    """
    front.counts["probes"] += 1
    started_at = front.core.now()
    result = AttemptResult.UNREACHABLE
    report: Mapping[str, float] = {}
    address = front.directory.addresses.get(server)
    if address is not None:
        try:
            lines = LineSocket(await connect(address, front.options.connect_timeout_seconds))
        except OSError:
            front.counts["probes_failed"] += 1
            return HealthCheckEnded(server, result, front.core.now() - started_at)
        command = b"STATS\r\n" if front.core.settings.health_checks_report_load else b"PING\r\n"
        try:
            answer = await _query(lines, command)
        except TimeoutError:
            result = AttemptResult.TIMEOUT
        except (OSError, LineTooLongError):
            result = AttemptResult.RESET
        else:
            result = AttemptResult.OK if answer.startswith(b"PONG") else AttemptResult.ERROR
            report = parse_load_report(answer)
        finally:
            lines.close()
    if result is AttemptResult.OK:
        front.counts.setdefault("probes_failed", 0)  # printed together with probes from the first check on
    else:
        front.counts["probes_failed"] += 1
    return HealthCheckEnded(server, result, front.core.now() - started_at, report)


async def _query(lines: LineSocket, command: bytes) -> bytes:
    """Send a command; return the answer's line, empty at the end of the stream.

    Raises OSError or LineTooLongError.
    """
    async with asyncio.timeout(TIMEOUT_SECONDS):
        await send_buffers(lines.sock, [command])
        length = await lines.read_line()
    return bytes(lines.buffer[:length])
