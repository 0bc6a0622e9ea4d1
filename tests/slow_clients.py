"""Many clients that connect at once and send one request each, as a process of their own.

Arguments: host, port, number of clients, seconds, and the bytes that a client sends at a time. Standard input has
what each sends; `$` in it stands for 16 hex digits of the client's own. Nothing is read.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import time

STEP_SECONDS = 0.01


def send_some(sock: socket.socket, data: bytes) -> bytes:
    """Send what the socket takes; return the rest, nothing if the relay has ended the connection."""
    try:
        return data[sock.send(data) :]
    except BlockingIOError:
        return data
    except OSError:
        return b""


def main() -> None:
    """Send until the time is over, then print how many clients sent all."""
    host, port, clients, seconds, size = sys.argv[1:]
    template = sys.stdin.buffer.read()
    rest: dict[socket.socket, bytes] = {}
    for number in range(int(clients)):
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect((host, int(port)))
        rest[sock] = template.replace(b"$", b"%016x" % (1 << 32 | number))
    until = time.monotonic() + float(seconds)
    while time.monotonic() < until:
        for sock, data in rest.items():
            if data:
                rest[sock] = send_some(sock, data[: int(size)]) + data[int(size) :]
        time.sleep(STEP_SECONDS)
    print(sum(not data for data in rest.values()))


if __name__ == "__main__":
    main()
