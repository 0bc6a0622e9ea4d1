"""What a gate server's LOAD line tells: its connection's load or, by the same word, how late messages are.

The settings know two notes: the load of a connection (microseconds of work a second), and the time that a
message takes at its server (ms, once a second on one of a relay's connections there while it is long). The
protocol has one word for both; docs/questions.md has what was seen.
"""

from __future__ import annotations

from lynxdeck.interface import NoteKind

LOAD_LEAST = 1_000.0  # us/s, a thousandth of a core: nothing that is connected asks for less
DELAY_MOST = 5_000.0  # ms: no server has as much work piled up, it drops connections before
UNCLEAR_MOST = 64
REPEATED = 2_500.0  # ms within which a delay that lasts is told again: each second, one line may be missed


class Notes:
    """Tells the two apart; what may be either is a delay where messages are known to be late."""

    def __init__(self) -> None:
        self.late: dict[str, float] = {}  # servers that told of a delay, and when
        self.unclear: dict[str, tuple[int, float]] = {}  # servers with a line that may be either: on which
        # connection, and when

    def kind(self, server: str, connection: int, value: float, now: float) -> NoteKind:
        """What the line means that brought this value on this connection now (ms)."""
        if value >= DELAY_MOST:
            return NoteKind.LOAD
        before, at = self.unclear.pop(server, (-1, 0.0))
        # Loads change every few seconds at the most; guards against a delay whose first word was this long.
        again = before == connection and now - at < REPEATED
        if value >= LOAD_LEAST and not again and now - self.late.get(server, -REPEATED) >= REPEATED:
            self.unclear[server] = connection, now
            if len(self.unclear) > UNCLEAR_MOST:
                del self.unclear[next(iter(self.unclear))]
            return NoteKind.LOAD
        self.late.pop(server, None)
        self.late[server] = now  # in the order of time; servers come and go
        while now - self.late[first := next(iter(self.late))] > REPEATED:
            del self.late[first]
        return NoteKind.DELAY
