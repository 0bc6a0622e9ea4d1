"""The answers that a client's operations are owed, sent in the order of the operations.

A publication is answered once a server has confirmed it: with +OK in verbose mode, otherwise by the PONG to a
later PING. A publication that is lost with its server is answered with -ERR in verbose mode. Otherwise the
PONG that would confirm it is not sent, and the session ends instead.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.errors import STALE_CONNECTION
from violetdoor.net.outbox import Outbox

OK = b"+OK\r\n"
PONG = b"PONG\r\n"
# Client libraries connect anew on this text; on one that they do not know they close for good.
FAILURE = frames.error(STALE_CONNECTION)


class AnswerState(Enum):
    """What is known of an operation's outcome."""

    PENDING = "pending"
    SUCCEEDED = "succeeded"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Answer:
    """The answer to one operation; an empty line is not sent."""

    success_line: bytes
    failure_line: bytes = b""
    state: AnswerState = AnswerState.PENDING

    @property
    def is_pong(self) -> bool:
        """Whether this answers a PING, and so confirms all earlier operations."""
        return self.success_line == PONG

    @property
    def is_silent_failure(self) -> bool:
        """Whether a publication failed and no line says so."""
        return self.state is AnswerState.FAILED and not self.failure_line and not self.is_pong


class AnswerQueue:
    """The answers that are not sent yet, oldest operation first."""

    __slots__ = ("_answers", "_end_session", "_has_silent_failure", "_out")

    def __init__(self, out: Outbox, end_session: Callable[[], None]) -> None:
        """Send to `out`; `end_session` is called in place of a PONG that would confirm a lost publication."""
        self._out = out
        self._end_session = end_session
        self._answers: deque[Answer] = deque()
        self._has_silent_failure = False  # an operation failed, and the client was not notified

    def __len__(self) -> int:
        """Return the number of answers that are not sent yet."""
        return len(self._answers)

    def add_publication(self, *, is_verbose: bool) -> Answer:
        """Add the answer to a publication."""
        return self._add(Answer(OK, FAILURE) if is_verbose else Answer(b""))

    def add_pong(self) -> Answer:
        """Add the answer to a PING."""
        return self._add(Answer(PONG))

    def add_resolved(self, line: bytes) -> None:
        """Add the answer to an operation whose outcome is known already."""
        self._add(Answer(line, state=AnswerState.SUCCEEDED))
        self._send_resolved()

    def succeed(self, *answers: Answer) -> None:
        """Record that these operations succeeded, and send what is due."""
        self._resolve(answers, AnswerState.SUCCEEDED)

    def fail(self, *answers: Answer) -> None:
        """Record that these operations failed, and send what is due."""
        self._resolve(answers, AnswerState.FAILED)

    def fail_pending(self) -> None:
        """Record that all operations without an outcome failed, because the session ends."""
        self.fail(*(answer for answer in self._answers if answer.state is AnswerState.PENDING))

    def _add(self, answer: Answer) -> Answer:
        self._answers.append(answer)
        return answer

    def _resolve(self, answers: tuple[Answer, ...], state: AnswerState) -> None:
        for answer in answers:
            answer.state = state
        self._send_resolved()

    def _send_resolved(self) -> None:
        """Send the answers that wait for no earlier one."""
        while self._answers and self._answers[0].state is not AnswerState.PENDING:
            answer = self._answers.popleft()
            self._has_silent_failure |= answer.is_silent_failure
            if answer.is_pong and self._has_silent_failure:
                self._end_session()
                return
            line = answer.failure_line if answer.state is AnswerState.FAILED else answer.success_line
            if line:
                self._out.enqueue(line)
