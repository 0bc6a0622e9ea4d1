"""A client's subscriptions, publications and PINGs, which are restored on each server it gets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.state import Publication, PublicationJournal, Subscription

if TYPE_CHECKING:
    from violetdoor.fronts.nats.answers import Answer
    from violetdoor.fronts.nats.client import NatsClient
    from violetdoor.fronts.nats.message_ids import RecentMessageIds
    from violetdoor.fronts.nats.server_connection import ServerConnection
    from violetdoor.net.counters import Counters

NO_RESPONDERS_STATUS = 503  # NATS convention: no responder for this request


class ServerBinding:
    """The client's state across servers, and its current server connection."""

    __slots__ = (
        "_client",
        "_counts",
        "confirmed",
        "connected",
        "connection",
        "journal",
        "subscriptions",
        "unanswered_pings",
    )

    def __init__(self, client: NatsClient, counts: Counters) -> None:
        """Start without a server."""
        self.subscriptions: dict[bytes, Subscription] = {}  # by sid
        self.journal = PublicationJournal()
        self.unanswered_pings: list[Answer] = []  # to client PINGs that the next server has to answer
        self.connection: ServerConnection | None = None  # the current server; None if there is none
        self.connected = asyncio.Event()
        self.confirmed = asyncio.Event()  # set when the journal shrinks or the server is lost
        self._client = client
        self._counts = counts

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

    def close(self) -> None:
        """Remove all subscriptions, because the session ends."""
        for subscription in list(self.subscriptions.values()):
            self.remove_subscription(subscription)

    def resume(self, connection: ServerConnection) -> None:
        """Restore the client's state on this server, and make it the current one."""
        for subscription in self.subscriptions.values():
            connection.out.enqueue(subscription.replay())
        for publication in self.journal.unconfirmed:
            self._counts["publications_resent"] += 1
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
        """Handle publications without a confirming PONG: only those with an id are sent again."""
        unconfirmed = self.journal.split_after_break()
        answers = [ping.answer for ping in connection.pending_pings if ping.answer is not None]
        self.unanswered_pings = answers + self.unanswered_pings
        count = len(unconfirmed.resendable) + len(unconfirmed.lost)
        self._counts["publications_unconfirmed"] += count
        for publication in unconfirmed.lost:
            self._answer_lost(publication)

    def _answer_lost(self, publication: Publication) -> None:
        """Answer a publication that may or may not have reached its subscribers: it counts as failed."""
        sid = b""
        if publication.reply and self._client.supports_headers:
            sid = self._sid_of_receiver(publication.reply)
        if sid:
            self._counts["publications_503"] += 1
            self._client.out.enqueue(frames.status(sid, publication.reply, NO_RESPONDERS_STATUS))
        else:
            self._counts["publications_given_up"] += 1
        if sid and not self._client.is_verbose:  # the status is the answer
            self._client.answers.succeed(publication.answer)
        else:
            self._client.answers.fail(publication.answer)

    def _sid_of_receiver(self, subject: bytes) -> bytes:
        """Return the sid of the client's subscription that matches a reply subject, empty if none does."""
        for sid, subscription in self.subscriptions.items():
            if frames.matches(subscription.subject, subject):
                return sid
        return b""
