"""A client's subscriptions, publications and PINGs, which are restored on each server it gets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.errors import UNCONFIRMED_PUBLICATIONS
from violetdoor.fronts.nats.requests import Request, RequestTracker
from violetdoor.fronts.nats.state import Publication, PublicationJournal, Subscription

if TYPE_CHECKING:
    from violetdoor.fronts.nats.answers import Answer
    from violetdoor.fronts.nats.client import NatsClient
    from violetdoor.fronts.nats.frames import Frame
    from violetdoor.fronts.nats.front_protocol import Front
    from violetdoor.fronts.nats.message_ids import RecentMessageIds
    from violetdoor.fronts.nats.server_connection import ServerConnection

NO_RESPONDERS_STATUS = 503  # NATS convention: no responder for this request
ANSWER_MARGIN_MS = 50.0  # the relay answers a request itself this long before its deadline


class ServerBinding:
    """The client's state across servers, and its current server connection."""

    __slots__ = (
        "_client",
        "_counts",
        "_front",
        "confirmed",
        "connected",
        "connection",
        "journal",
        "requests",
        "subscriptions",
        "unanswered_pings",
    )

    def __init__(self, front: Front, client: NatsClient) -> None:
        """Start without a server."""
        self.subscriptions: dict[bytes, Subscription] = {}  # by sid
        self.journal = PublicationJournal()
        self.requests = RequestTracker(self._on_request_answered, self._on_request_expired)
        self.unanswered_pings: list[Answer] = []  # to client PINGs that the next server has to answer
        self.connection: ServerConnection | None = None  # the current server; None if there is none
        self.connected = asyncio.Event()
        self.confirmed = asyncio.Event()  # set when the journal shrinks or the server is lost
        self._front = front
        self._client = client
        self._counts = front.counts

    def remove_subscription(self, subscription: Subscription) -> None:
        """Remove a subscription that has ended; its ids stay if others of its queue group share them."""
        del self.subscriptions[subscription.sid]
        if self.group_ids(subscription.subject, subscription.queue) is None:
            subscription.end()

    def group_ids(self, subject: bytes, queue: bytes) -> RecentMessageIds | None:
        """Return the ids that the client's members of a queue group share; None without such a member.

        A message goes to one member of the group, and its second copy may go to another one.
        """
        for subscription in self.subscriptions.values():
            if queue and (subscription.subject, subscription.queue) == (subject, queue):
                return subscription.recent_ids
        return None

    def add_publication(self, frame: Frame, answer: Answer) -> None:
        """Record a publication that is about to be sent, and the answer that it is owed."""
        reply = frames.reply_subject(frame)
        request = self.requests.add(reply, answer, self._answer_seconds()) if reply else None
        self.journal.add(frame, answer, request)

    def _answer_seconds(self) -> float:
        """Return how long a client waits for the answer to a request, in s."""
        deadline_ms = self._front.deadlines_ms[self._client.request_class]
        return max(0.0, deadline_ms - ANSWER_MARGIN_MS) / 1000

    def confirm_publications(self, mark: int) -> list[Publication]:
        """Remove the publications up to a PING's journal mark; return them."""
        confirmed = self.journal.confirm(mark)
        for publication in confirmed:
            if publication.request is not None:
                self.requests.remove(publication.request)
        return confirmed

    def close(self) -> None:
        """Remove all subscriptions and requests, because the session ends."""
        self.requests.close()
        for subscription in list(self.subscriptions.values()):
            self.remove_subscription(subscription)

    def resume(self, connection: ServerConnection) -> None:
        """Restore the client's state on this server, and make it the current one."""
        for subscription in self.subscriptions.values():
            connection.out.enqueue(subscription.replay())
        for publication in self.journal.unconfirmed:
            self._counts["publications_resent"] += 1
            if publication.request is not None:
                self.requests.mark_resent(publication.request)
            connection.out.enqueue(publication.raw)
        for answer in self.unanswered_pings:
            connection.send_ping(self.journal.added_count, answer=answer)
        self.unanswered_pings.clear()
        self.connection = connection
        self.connected.set()

    def suspend(self) -> None:
        """Detach from the server; the client's operations wait from now on."""
        self.connection = None
        self.connected.clear()
        self.confirmed.set()

    def request_confirmation(self) -> None:
        """Send a PING for the unconfirmed publications, unless the server owes a PONG already."""
        if self.connection is not None and self.journal.unconfirmed and not self.connection.pending_pings:
            self.connection.send_ping(self.journal.added_count)

    def end_subscriptions(self, connection: ServerConnection) -> asyncio.Future[None]:
        """End all subscriptions; the future is done once the server has sent all their messages."""
        for sid in self.subscriptions:
            connection.out.enqueue(frames.unsubscribe(sid))
        fence: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        connection.send_ping(self.journal.added_count, fence=fence)
        return fence

    def resolve_unconfirmed(self, connection: ServerConnection) -> None:
        """Handle publications without a confirming PONG: only those with an id are sent again.

        Those that got a reply have run, and are neither sent again nor lost.
        """
        unconfirmed = self.journal.split_after_break()
        answers = [ping.answer for ping in connection.pending_pings if ping.answer is not None]
        self.unanswered_pings = answers + self.unanswered_pings
        count = len(unconfirmed.resendable) + len(unconfirmed.lost)
        self._counts["publications_unconfirmed"] += count
        self._client.answers.succeed(*(publication.answer for publication in unconfirmed.replied))
        for publication in unconfirmed.lost:
            self._resolve_lost(publication)

    def _resolve_lost(self, publication: Publication) -> None:
        """Fail a publication that may have run, or wait for its reply if the client listens for one."""
        request = publication.request
        if request is not None and self._receiver(request.reply) is not None:
            self.requests.mark_lost(request)
            return
        if request is not None:
            self.requests.remove(request)
        self._give_up(publication.answer)

    def _give_up(self, answer: Answer) -> None:
        self._counts["publications_given_up"] += 1
        self._client.answers.fail(answer)

    def _on_request_answered(self, request: Request) -> None:
        """Resolve a lost request whose reply has come after all: it has run."""
        self._counts["publications_replied_late"] += 1
        self._client.answers.succeed(request.answer)

    def _on_request_expired(self, request: Request) -> None:
        """Give a lost request its one final answer: -ERR, a status if the client asked for it, or the end."""
        client = self._client
        receiver = self._receiver(request.reply)
        if receiver is None or client.is_verbose:
            self._give_up(request.answer)
        elif client.supports_statuses:
            self._counts["publications_503"] += 1
            self._send_status(receiver, request.reply)
            client.answers.succeed(request.answer)
        else:
            self._give_up(request.answer)
            client.end(UNCONFIRMED_PUBLICATIONS)

    def _send_status(self, receiver: Subscription, reply: bytes) -> None:
        """Send the status that stands for an answer; it counts as a message of the subscription."""
        self._client.out.enqueue(frames.status(receiver.sid, reply, NO_RESPONDERS_STATUS))
        receiver.delivered += 1
        if not receiver.is_exhausted:
            return
        self.remove_subscription(receiver)
        if self.connection is not None:
            self.connection.out.enqueue(frames.unsubscribe(receiver.sid))

    def _receiver(self, subject: bytes) -> Subscription | None:
        """Return the client's subscription that matches a reply subject, None if none does."""
        for subscription in self.subscriptions.values():
            if frames.matches(subscription.subject, subject):
                return subscription
        return None
