"""Reports of session starts and ends to the group's leader, repeated until it acknowledges them."""

from __future__ import annotations

import math

from violetdoor.control.messages import RelayKey, ReportAck, SessionEnded, SessionOpened
from violetdoor.control.roster import relay_key

# Interval between repetitions. Messages within a group are lost only if their connection breaks.
RESEND_DELAY_SECONDS = 0.5


class SessionReports:
    """The newest unacknowledged report on each relay."""

    def __init__(self) -> None:
        """Start with nothing to report."""
        self.pending: dict[str, SessionOpened | SessionEnded] = {}  # by name of the relay
        self.unsent_names: dict[str, None] = {}  # relays whose report was never sent, in order
        self._resend_at = math.inf

    def add(self, report: SessionOpened | SessionEnded, now: float) -> None:
        """Add a report; it replaces an unacknowledged report on the same relay."""
        name = _reported_key(report).name
        self.pending[name] = report
        self.unsent_names[name] = None
        self._resend_at = min(self._resend_at, now + RESEND_DELAY_SECONDS)

    def acknowledge(self, ack: ReportAck) -> None:
        """Remove the report that the leader has acknowledged; a newer report on the same relay stays."""
        report = self.pending.get(ack.key.name)
        if report is None or report.attempt != ack.attempt:
            return
        if _reported_key(report) == ack.key and isinstance(report, SessionOpened) == ack.is_open:
            self._remove(ack.key.name)

    def discard(self, key: RelayKey) -> None:
        """Remove the report on a session that the leader rejected."""
        report = self.pending.get(key.name)
        if report is not None and _reported_key(report) == key:
            self._remove(key.name)

    def resend_all(self, now: float) -> None:
        """Make all reports due, because there is a new leader."""
        self._resend_at = now if self.pending else math.inf

    @property
    def next_send_at(self) -> float:
        """The time at which `take_due_reports` returns reports; minus infinity if one was never sent."""
        return -math.inf if self.unsent_names else self._resend_at

    def take_due_reports(self, now: float) -> list[SessionOpened | SessionEnded]:
        """Return the reports to send now: the unsent ones or, once per resend interval, all of them."""
        is_resend_due = now >= self._resend_at
        names = list(self.pending) if is_resend_due else list(self.unsent_names)
        self.unsent_names = {}
        if is_resend_due:
            self._resend_at = now + RESEND_DELAY_SECONDS if self.pending else math.inf
        return [self.pending[name] for name in names]

    def _remove(self, name: str) -> None:
        del self.pending[name]
        self.unsent_names.pop(name, None)


def _reported_key(report: SessionOpened | SessionEnded) -> RelayKey:
    return relay_key(report.relay) if isinstance(report, SessionOpened) else report.key
