"""A network namespace that has only loopback, for one process and its children, so that every byte is counted."""

from __future__ import annotations

import ctypes
import fcntl
import os
import socket
import struct
from pathlib import Path

CLONE_NEWUSER, CLONE_NEWNET = 0x10000000, 0x40000000
SIOCSIFFLAGS, IFF_UP = 0x8914, 0x1
IFREQ = struct.Struct("16sH14x")


def enter_network_namespace() -> None:
    """Move this process, which must have one thread, into a new network namespace. Raises OSError."""
    libc = ctypes.CDLL(None, use_errno=True)
    flags = CLONE_NEWNET if os.geteuid() == 0 else CLONE_NEWNET | CLONE_NEWUSER
    if libc.unshare(flags):
        raise OSError(ctypes.get_errno(), "can't create a network namespace")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        fcntl.ioctl(sock, SIOCSIFFLAGS, IFREQ.pack(b"lo", IFF_UP))


def bytes_on_loopback() -> int:
    """Return the bytes sent over loopback so far, each counted once, with headers of IP, TCP and UDP."""
    for line in Path("/proc/self/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[0])
    raise OSError("no interface lo in /proc/self/net/dev")
