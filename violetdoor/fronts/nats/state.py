"""What one client's session keeps across servers: its subscriptions and its unconfirmed publications."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b

from violetdoor.fronts.nats.frames import Frame, message_id, subscribe, unsubscribe

OVERHEAD = 128  # bytes that keeping one publication costs beside its own


@dataclass(slots=True)
class Subscription:
    """One live SUB of the client."""

    sid: bytes
    subject: bytes
    queue: bytes = b""
    most: int = 0  # messages after which it ends, 0 for no limit
    delivered: int = 0  # to the client, on all servers
    received: int = 0  # from the server it is set up on now, repeats too: as that server counts
    seen: OrderedDict[bytes, None] = field(default_factory=OrderedDict)  # ids, oldest first

    def repeated(self, identity: bytes, window: int) -> bool:
        """Whether this id was delivered on this subscription lately; it counts as delivered from now on."""
        short = identity if len(identity) <= 32 else blake2b(identity, digest_size=32).digest()
        if short in self.seen:
            return True
        self.seen[short] = None
        if len(self.seen) > window:
            self.seen.popitem(last=False)
        return False

    @property
    def spent(self) -> bool:
        """Whether it has had all the messages it wanted."""
        return 0 < self.most <= self.delivered

    def replay(self) -> bytes:
        """The lines that set it up on another server, with what is left of its count."""
        self.received = 0
        lines = subscribe(self.sid, self.subject, self.queue)
        return lines + (unsubscribe(self.sid, self.most - self.delivered) if self.most else b"")


@dataclass(slots=True, frozen=True)
class Publication:
    """One message of the client that no PONG has confirmed."""

    identity: bytes  # its Nats-Msg-Id, if it has one
    reply: bytes
    raw: bytes  # kept only where it may be sent again
    size: int


class Journal:
    """The unconfirmed publications in order; a PONG confirms all up to the PING that it answers."""

    def __init__(self) -> None:
        self.waiting: deque[Publication] = deque()
        self.size = 0
        self.taken = 0  # publications ever taken in
        self.confirmed = 0  # of these, the number confirmed or given up

    def add(self, frame: Frame) -> None:
        """Take in a publication that is about to be sent."""
        reply = frame.args[1] if len(frame.args) == (4 if frame.op == "HPUB" else 3) else b""
        identity = message_id(frame.headers)
        self._append(Publication(identity, reply, frame.raw if identity else b"", len(frame.raw) + OVERHEAD))

    def _append(self, publication: Publication) -> None:
        self.waiting.append(publication)
        self.taken += 1
        self.size += publication.size

    def confirm(self, mark: int) -> int:
        """Drop those that were sent before a PING was, return how many."""
        count = mark - self.confirmed
        for _ in range(count):
            self.size -= self.waiting.popleft().size
        self.confirmed = max(self.confirmed, mark)
        return max(0, count)

    def settle(self) -> tuple[list[Publication], list[Publication]]:
        """After a break: those to send again, which stay, and those that never are."""
        kept = [p for p in self.waiting if p.identity]
        lost = [p for p in self.waiting if not p.identity]
        self.waiting.clear()
        self.size, self.confirmed = 0, self.taken
        for publication in kept:
            self._append(publication)
        return kept, lost
