"""The state of a client across servers: its subscriptions and its unconfirmed publications."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from violetdoor.fronts.nats.answers import Answer
from violetdoor.fronts.nats.frames import Frame, message_id, subscribe, unsubscribe
from violetdoor.fronts.nats.message_ids import RecentMessageIds
from violetdoor.fronts.nats.requests import Request

PUBLICATION_OVERHEAD_BYTES = 192  # memory per stored publication and its answer, besides its own bytes


@dataclass(slots=True)
class Subscription:
    """One active subscription of the client."""

    sid: bytes
    subject: bytes
    queue: bytes = b""
    number: int = 0  # order among all subscriptions of the relay
    max_messages: int = 0  # ends after this many messages; 0: no limit
    delivered: int = 0  # messages to the client from all servers
    received: int = 0  # messages from the current server, including duplicates, as it counts them
    recent_ids: RecentMessageIds | None = None  # delivered messages; None: duplicates are kept

    def is_duplicate(self, dedup_id: bytes, now: float) -> bool:
        """Return whether a message with this id was delivered recently; retain the id. `now` is in s."""
        return self.recent_ids is not None and not self.recent_ids.add(dedup_id, now)

    def end(self) -> None:
        """Release the retained ids."""
        if self.recent_ids is not None:
            self.recent_ids.clear()

    @property
    def is_exhausted(self) -> bool:
        """Whether the maximum number of messages was delivered."""
        return 0 < self.max_messages <= self.delivered

    def replay(self) -> bytes:
        """Return the lines that restore the subscription on another server, with its remaining count."""
        self.received = 0
        lines = subscribe(self.sid, self.subject, self.queue)
        if self.max_messages:
            lines += unsubscribe(self.sid, self.max_messages - self.delivered)
        return lines


@dataclass(slots=True, frozen=True)
class Publication:
    """A published message that no PONG has confirmed."""

    answer: Answer
    message_id: bytes  # the Nats-Msg-Id, empty if there is none
    raw: bytes  # kept only if the message has an id; otherwise empty
    size: int
    request: Request | None = None  # if it has a reply subject

    @property
    def has_run(self) -> bool:
        """Whether its server has passed it on, since a reply has come."""
        return self.request is not None and self.request.has_reply


@dataclass(slots=True, frozen=True)
class UnconfirmedPublications:
    """The publications that a lost connection leaves unconfirmed."""

    replied: list[Publication]  # a reply has come, so they have run
    resendable: list[Publication]  # with an id, by which duplicates are dropped
    lost: list[Publication]  # without an id: never sent again


class PublicationJournal:
    """The unconfirmed publications in order; a PONG confirms all that precede its PING."""

    def __init__(self) -> None:
        """Start empty."""
        self.unconfirmed: deque[Publication] = deque()
        self.size_bytes = 0
        self.added_count = 0  # publications added so far
        self.confirmed_count = 0  # confirmed or given up among these

    def add(self, frame: Frame, answer: Answer, request: Request | None) -> None:
        """Add a publication that is about to be sent, and the answer that it is owed."""
        dedup_id = message_id(frame.headers)
        raw = frame.raw if dedup_id else b""
        size = len(frame.raw) + PUBLICATION_OVERHEAD_BYTES
        self._append(Publication(answer, dedup_id, raw, size, request))

    def _append(self, publication: Publication) -> None:
        self.unconfirmed.append(publication)
        self.added_count += 1
        self.size_bytes += publication.size

    def confirm(self, mark: int) -> list[Publication]:
        """Remove the publications up to the PING's journal mark; return them."""
        confirmed = [self.unconfirmed.popleft() for _ in range(mark - self.confirmed_count)]
        self.size_bytes -= sum(publication.size for publication in confirmed)
        self.confirmed_count = max(self.confirmed_count, mark)
        return confirmed

    def split_after_break(self) -> UnconfirmedPublications:
        """Keep the publications with an id for resending and give up the others; return all by their fate."""
        replied = [publication for publication in self.unconfirmed if publication.has_run]
        uncertain = [publication for publication in self.unconfirmed if not publication.has_run]
        resendable = [publication for publication in uncertain if publication.message_id]
        lost = [publication for publication in uncertain if not publication.message_id]
        self.unconfirmed.clear()
        self.size_bytes = 0
        self.confirmed_count = self.added_count
        for publication in resendable:
            self._append(publication)
        return UnconfirmedPublications(replied, resendable, lost)
