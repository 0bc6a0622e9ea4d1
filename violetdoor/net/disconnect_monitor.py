"""Whether a client has left too long ago to act on what it sent before."""

from __future__ import annotations

import asyncio
import socket

from violetdoor.net.sockets import is_peer_closed
from violetdoor.net.tcp_info import segment_ages

CHECK_INTERVAL_SECONDS = 0.02  # between two looks at the socket
# Nothing may begin over 100 ms after its client left; the rest is for the interval and a kernel tick.
MAX_MS_AFTER_LEAVING = 60


class DisconnectMonitor:
    """Looks at a client's socket while its operations are executed, since an end behind them stays unread."""

    __slots__ = ("_checked_at", "_loop", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        """Start with a connected client."""
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._checked_at = self._loop.time()

    def has_left(self) -> bool:
        """Return whether the client left so long ago that nothing more of it may begin.

        It had not left before its last data came, so what it sends just before it leaves is not dropped.
        """
        now = self._loop.time()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return False
        self._checked_at = now
        return is_peer_closed(self._sock) and segment_ages(self._sock).received_ms > MAX_MS_AFTER_LEAVING
