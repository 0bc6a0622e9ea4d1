"""The ids of client connections that are open or ended recently."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

MAX_ENDED_IDS = 4096  # ids of ended connections that stay reserved


class ConnectionIds:
    """Ids that a new connection may not use.

    Guards against a client that uses another client's id: the gate server rejects such a connection, which
    would count as a failure of a healthy server.
    """

    def __init__(self, on_reserved: Callable[[str], None] = lambda _hex_id: None) -> None:
        """Start with no id in use; `on_reserved` gets each id, in hex, that a connection has taken."""
        self._on_reserved = on_reserved
        self.open: set[int] = set()
        self._ended: OrderedDict[int, None] = OrderedDict()  # oldest first

    def reserve(self, connection_id: int) -> bool:
        """Reserve an id; False if it is in use or was used recently."""
        if connection_id in self.open or connection_id in self._ended:
            return False
        self.open.add(connection_id)
        self._on_reserved(f"{connection_id:x}")
        return True

    def release(self, connection_id: int) -> None:
        """Record that a connection ended; its id stays reserved until MAX_ENDED_IDS others have ended."""
        self.open.discard(connection_id)
        self._ended[connection_id] = None
        if len(self._ended) > MAX_ENDED_IDS:
            self._ended.popitem(last=False)

    def hex_ids(self) -> list[str]:
        """Return all reserved ids in hex."""
        return [f"{connection_id:x}" for connection_id in (*self._ended, *self.open)]

    def add_ended(self, hex_ids: Iterable[str]) -> None:
        """Reserve ids, in hex, that another process of this relay has in use."""
        for name in hex_ids:
            self._ended[int(name, 16)] = None
        while len(self._ended) > MAX_ENDED_IDS:
            self._ended.popitem(last=False)
