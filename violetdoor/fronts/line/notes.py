"""What a gate server's LOAD line tells: its connection's load or, by the same word, how late messages are.

The settings know two notes: the load of a connection (microseconds of work a second), and the time that a
message takes at its server (ms, once a second on one of a relay's connections there while it is long). The
protocol has one word for both; docs/questions.md has what was seen.
"""

from __future__ import annotations

from lynxdeck.interface import NoteKind

LOAD_LEAST = 1_000.0  # us/s, a thousandth of a core: nothing that is connected asks for less
DELAY_MOST = 5_000.0  # ms: no server has as much work piled up, it drops connections before
GROWTH = 2.0  # times the time passed that a delay grows by at most: asked for thrice what it can
UNCLEAR_MOST = 64
REPEATED = 2_500.0  # ms within which a delay that lasts is told again: each second, one line may be missed


class Notes:
    """Tells the two apart; what may be either is a delay where messages are known to be late."""

    def __init__(self) -> None:
        self.late: dict[str, tuple[float, float]] = {}  # servers that told of a delay: when, and of which
        self.unclear: dict[str, tuple[int, float]] = {}  # servers with a line that may be either: on which
        # connection, and when

    def kind(self, server: str, connection: int, value: float, now: float) -> NoteKind:
        """What the line means that brought this value on this connection now (ms)."""
        if value >= DELAY_MOST:
            return NoteKind.LOAD
        before, at = self.unclear.pop(server, (-1, 0.0))
        # Loads change every few seconds at the most; guards against a delay whose first word was this long.
        again = before == connection and now - at < REPEATED
        told, delay = self.late.get(server, (-REPEATED, 0.0))
        grown = delay + GROWTH * (now - told)
        if value >= LOAD_LEAST and not again and (now - told >= REPEATED or value > grown):
            self.unclear[server] = connection, now
            if len(self.unclear) > UNCLEAR_MOST:
                del self.unclear[next(iter(self.unclear))]
            return NoteKind.LOAD
        self.late.pop(server, None)
        self.late[server] = now, value  # in the order of time; servers come and go
        while now - self.late[first := next(iter(self.late))][0] > REPEATED:
            del self.late[first]
        return NoteKind.DELAY
