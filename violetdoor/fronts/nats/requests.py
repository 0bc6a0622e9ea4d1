"""The requests of one client: publications with a reply subject, each with one final answer.

A request that its server has not confirmed when it is lost may have run, so an answer may still come by
another server. The relay waits for it until the request's deadline, and only then answers itself. An answer
that comes after that, and the second answer to a request that was sent again, are not delivered.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from violetdoor.fronts.nats.answers import Answer
from violetdoor.fronts.nats.message_ids import RETENTION_SECONDS

MAX_LOST_REQUESTS = 4096  # per client; beyond it the oldest one is answered before its deadline
MAX_SURPLUS_REPLIES = 4096  # reply subjects per client; beyond it the oldest one is forgotten


@dataclass(slots=True, eq=False)
class Request:
    """A request that is not confirmed, or lost and not answered yet."""

    reply: bytes
    answer: Answer
    deadline_at: float  # s, loop clock
    has_reply: bool = False  # a message came on its reply subject, so it has run
    is_lost: bool = False


@dataclass(slots=True)
class SurplusReplies:
    """The messages on a reply subject that may come although one request has one answer."""

    until: float  # s, loop clock
    count: int  # each copy of the request may bring one
    is_answered: bool  # the one answer was given


class RequestTracker:
    """Matches messages with the requests that they answer, oldest request of a reply subject first."""

    __slots__ = ("_loop", "_lost", "_on_answered", "_on_expired", "_surplus", "_timer", "_unanswered")

    def __init__(self, on_answered: Callable[[Request], None], on_expired: Callable[[Request], None]) -> None:
        """Start without requests; each lost one is passed to one of the two functions, once."""
        self._on_answered = on_answered
        self._on_expired = on_expired
        self._unanswered: dict[bytes, deque[Request]] = {}  # unconfirmed or lost ones by reply subject
        self._lost: deque[Request] = deque()  # in the order of their deadlines
        self._surplus: dict[bytes, SurplusReplies] = {}  # by reply subject
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def add(self, reply: bytes, answer: Answer, time_left_seconds: float) -> Request:
        """Add a request that is about to be sent."""
        request = Request(reply, answer, self._loop.time() + time_left_seconds)
        self._unanswered.setdefault(reply, deque()).append(request)
        # The answers to two requests on one reply subject can't be told apart, so none is dropped.
        self._surplus.pop(reply, None)
        return request

    def remove(self, request: Request) -> None:
        """Remove a request that its server has confirmed, or that nobody waits for."""
        requests = self._unanswered.get(request.reply)
        if requests is None or request.has_reply:
            return
        requests.remove(request)
        if not requests:
            del self._unanswered[request.reply]

    def mark_resent(self, request: Request) -> None:
        """Record that a request is sent again: it may run twice, and gets one answer all the same."""
        if len(self._unanswered.get(request.reply, ())) == 1:
            self._expect_surplus(request.reply, is_answered=False)

    def mark_lost(self, request: Request) -> None:
        """Wait for the answer to a request that may have run, until its deadline."""
        request.is_lost = True
        self._lost.append(request)
        if len(self._lost) > MAX_LOST_REQUESTS:
            self._expire(self._lost.popleft())
        self._schedule()

    def accept_message(self, subject: bytes) -> bool:
        """Match a message with the request that it answers; return whether it may be delivered."""
        if self._surplus and not self._accept_reply(subject):
            return False
        requests = self._unanswered.get(subject)
        if requests:
            request = requests[0]
            self.remove(request)
            request.has_reply = True
            if request.is_lost:
                self._lost.remove(request)
                self._on_answered(request)
        return True

    def close(self) -> None:
        """Forget all requests, because the session ends."""
        self._lost.clear()
        self._unanswered.clear()
        self._schedule()

    def _accept_reply(self, subject: bytes) -> bool:
        """Return whether a message may be delivered on a reply subject that may get too many."""
        surplus = self._surplus.get(subject)
        if surplus is None or surplus.until <= self._loop.time():
            return True
        if not surplus.is_answered:
            surplus.is_answered = True
            return True
        surplus.count -= 1
        if not surplus.count:
            del self._surplus[subject]
        return False

    def _expect_surplus(self, reply: bytes, *, is_answered: bool) -> None:
        """Expect one message beyond the one answer; forget subjects that are over the time or the limit."""
        now = self._loop.time()
        before = self._surplus.pop(reply, None)
        count = before.count if before else 0
        self._surplus[reply] = SurplusReplies(now + RETENTION_SECONDS, count + 1, is_answered)
        oldest = next(iter(self._surplus))
        while self._surplus[oldest].until <= now or len(self._surplus) > MAX_SURPLUS_REPLIES:
            del self._surplus[oldest]
            oldest = next(iter(self._surplus))

    def _expire(self, request: Request) -> None:
        """End the wait for a lost request; its late answer will be dropped."""
        self.remove(request)
        if request.reply not in self._unanswered:
            self._expect_surplus(request.reply, is_answered=True)
        self._on_expired(request)

    def _schedule(self) -> None:
        """Set the timer for the first deadline, if there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._lost:
            self._timer = self._loop.call_at(self._lost[0].deadline_at, self._expire_due)

    def _expire_due(self) -> None:
        while self._lost and self._lost[0].deadline_at <= self._loop.time():
            self._expire(self._lost.popleft())
        self._schedule()
