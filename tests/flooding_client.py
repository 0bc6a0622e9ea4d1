"""A client that sends the same bytes at full speed and reads all answers, as a process of its own.

Arguments: host, port, seconds, whether the relay greets first (0 or 1), and in hex what to send first and what
to repeat.
"""

from __future__ import annotations

import select
import socket
import sys
import time

READ_BYTES = 65_536
REPETITIONS = 200  # per write


def main() -> None:
    """Flood until the time is over or the relay ends the connection."""
    host, port, seconds, is_greeted, first, repeated = sys.argv[1:]
    data = bytes.fromhex(repeated) * REPETITIONS
    sock = socket.create_connection((host, int(port)))
    if int(is_greeted):
        sock.recv(READ_BYTES)
    sock.sendall(bytes.fromhex(first))
    sock.setblocking(False)
    until = time.monotonic() + float(seconds)
    sent = total = received = 0
    while time.monotonic() < until:
        readable, writable, _ = select.select([sock], [sock], [], 0.1)
        if readable:
            answers = sock.recv(READ_BYTES)
            if not answers:
                break
            received += len(answers)
        if writable:
            count = sock.send(data[sent:])
            sent = (sent + count) % len(data)
            total += count
    print(total, received)


if __name__ == "__main__":
    main()
