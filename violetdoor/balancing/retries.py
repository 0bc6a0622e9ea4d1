"""Retry rules: when and where a request may be retried, and when reconnects are rejected."""

from __future__ import annotations

import math

from violetdoor.balancing.context import Context
from violetdoor.balancing.events import AttemptEnded, AttemptResult
from violetdoor.balancing.health_checks import MAX_HEALTH_CHECK_WAIT_MS
from violetdoor.balancing.model import Request, Server
from violetdoor.balancing.settings import DeduplicationScope, ExecutionSemantics
from violetdoor.balancing.slow_start import SlowStart

TIMEOUT_SMOOTHING_FACTOR = 0.1  # weight of one attempt in the fraction of timeouts
MAX_TIMEOUT_FRACTION = 0.3  # from here on a shared store is slow, not one server, and retries only add load
RECONNECT_BACKOFF_MS = 100_000.0  # after a reset; to be divided by the number of requests
MIN_CONNECTIONS_FOR_BACKOFF = 5  # least number by which the backoff is divided
MIN_RETRY_AFTER_FRACTION = 0.3  # of the longest Retry-After; random above it, so that retries are spread


class RetryPolicy:
    """Owns the fraction of attempts that timed out, and the reconnect backoff."""

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        """Start without timeouts."""
        self.context = context
        self.slow_start = slow_start
        self.timeout_fraction = 0.0
        self._reconnect_backoff_ends_at_ms = -math.inf

    def attempt_succeeded(self) -> None:
        """Count an attempt that did not time out."""
        self.timeout_fraction -= TIMEOUT_SMOOTHING_FACTOR * self.timeout_fraction

    def attempt_timed_out(self) -> None:
        """Count an attempt that timed out."""
        self.timeout_fraction += TIMEOUT_SMOOTHING_FACTOR * (1 - self.timeout_fraction)

    def is_timeout_widespread(self) -> bool:
        """Return whether so many attempts time out that a single server can't be the cause."""
        return self.timeout_fraction >= MAX_TIMEOUT_FRACTION

    def start_reconnect_backoff(self) -> None:
        """Reject reconnects for a while, after an overloaded but running server reset a connection."""
        count = max(MIN_CONNECTIONS_FOR_BACKOFF, len(self.context.requests))
        self._reconnect_backoff_ends_at_ms = self.context.now_ms + RECONNECT_BACKOFF_MS / count

    def is_in_reconnect_backoff(self, request: Request) -> bool:
        """Return whether to reject a reconnect: placing it could overload a server and cause more resets."""
        return request.is_reconnect and self.context.now_ms < self._reconnect_backoff_ends_at_ms

    def record_possible_execution(self, request: Request, server: Server, event: AttemptEnded) -> None:
        """Record the first attempt that the server may have executed."""
        if event.result.proves_not_executed or request.first_executor is not None:
            return
        request.first_executor = server
        if request.request_class.semantics is ExecutionSemantics.DEDUPLICATED:
            started_at_ms = self.context.now_ms - event.latency_ms
            request.start_by_ms = started_at_ms + request.request_class.deduplication_window_ms

    def may_retry(self, request: Request, result: AttemptResult) -> bool:
        """Return whether another attempt may follow one with this result."""
        context = self.context
        if request.attempt_count >= context.settings.max_attempts:
            return False
        if context.now_ms >= request.deadline_ms - context.answer_margin_ms:
            return False
        may_have_run = request.first_executor is not None
        if may_have_run and request.request_class.semantics is ExecutionSemantics.AT_MOST_ONCE:
            return False
        # A retry would add load to a shared store that is already slow.
        return result is not AttemptResult.TIMEOUT or not self.is_timeout_widespread()

    def is_safe_to_reject(self, request: Request) -> bool:
        """Return whether the client may repeat the request without executing its effect twice."""
        if request.first_executor is None:
            return True
        request_class = request.request_class
        if request_class.semantics is ExecutionSemantics.IDEMPOTENT:
            return True
        is_deduplicated = request_class.semantics is ExecutionSemantics.DEDUPLICATED
        return is_deduplicated and request_class.deduplication_scope is DeduplicationScope.ALL

    def retry_after_ms(self) -> float:
        """Return a random time that a rejected client should wait before it tries again."""
        fraction = self.context.random.uniform(MIN_RETRY_AFTER_FRACTION, 1)
        return self.context.settings.max_retry_after_ms * fraction

    def requires_deduplication(self, request: Request) -> bool:
        """Return whether a retry must go to a server that can deduplicate the request."""
        if request.first_executor is None:
            return False
        return request.request_class.semantics is not ExecutionSemantics.IDEMPOTENT

    def accepts_deduplicated_retry(self, request: Request, server: Server) -> bool:
        """Return whether a server deduplicates the request and has a slow-start turn, which is consumed."""
        request_class = request.request_class
        if request_class.semantics is not ExecutionSemantics.DEDUPLICATED:
            return False
        if self.context.now_ms + 2 * MAX_HEALTH_CHECK_WAIT_MS > request.start_by_ms:
            return False
        if not server.is_ready or not self._is_in_scope(request, server):
            return False
        return self.slow_start.try_consume_turn(server, request.load)

    @staticmethod
    def _is_in_scope(request: Request, server: Server) -> bool:
        first = server if request.first_executor is None else request.first_executor
        scope = request.request_class.deduplication_scope
        if scope is DeduplicationScope.ZONE:
            return server.entry.zone == first.entry.zone
        if scope is DeduplicationScope.CELL:
            return server.entry.cell == first.entry.cell
        return True
