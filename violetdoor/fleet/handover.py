"""Handover of a member's state to the next process of its relay, in an upgrade. No I/O."""

from __future__ import annotations

import math

from violetdoor import events
from violetdoor.fleet.context import MemberState, NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.heartbeat import Heartbeat
from violetdoor.fleet.joining import Joining
from violetdoor.fleet.lease import Lease
from violetdoor.fleet.membership import Membership
from violetdoor.fleet.packets import Packets
from violetdoor.fleet.prior_leases import PriorLeases
from violetdoor.fleet.proposer import Proposer
from violetdoor.fleet.replay import ReplayWindow
from violetdoor.fleet.stored_state import DurableState, HandoverState, LeaseState, ReportedView, SenderWindow


class Handover:
    """Exports the state of a node's components, and imports it into the components of another process."""

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        prior_leases: PriorLeases,
        heartbeat: Heartbeat,
        membership: Membership,
        proposer: Proposer,
        joining: Joining,
        packets: Packets,
    ) -> None:
        """Initialize with the components whose state is handed over."""
        self.context = context
        self.departures = departures
        self.prior_leases = prior_leases
        self.heartbeat = heartbeat
        self.membership = membership
        self.proposer = proposer
        self.joining = joining
        self.packets = packets

    def export_state(self) -> HandoverState:
        """Return the member's state; afterwards this process must not send anything as the member."""
        context = self.context
        context.update_durable_state()
        return HandoverState(
            process=context.process,
            local_peer=context.local_peer,
            state=context.state.value,
            started_at=context.started_at,
            durable_state=None if context.view is None else context.durable_state,
            latest_view=context.latest_view,
            last_epoch=context.last_epoch,
            last_seq=context.last_seq,
            lease=None if context.lease is None else context.lease.export_state(),
            last_heartbeat_at=self.heartbeat.last_joined_at,
            prior_views=tuple(self.prior_leases.prior_views),
            has_lease=context.had_lease,
            incarnation=context.detector.incarnation,
            packet_count=self.packets.sent_count,
            entries=tuple(context.map.entries.values()),
            clock=context.map.clock.latest,
            replay_windows=tuple(
                SenderWindow(name, instance, window.newest)
                for (name, instance), window in self.packets.replay_windows.items()
            ),
            readmissions=tuple(self.joining.readmissions.values()),
            departed_instances=tuple(self.departures.left_instances),
            reported_views=tuple(ReportedView(*item) for item in self.prior_leases.reported_views.items()),
            ended_members=tuple(self.departures.ended_members),
            leaving_members=tuple(self.proposer.leaving_members),
        )

    def import_state(self, state: HandoverState, now: float) -> None:
        """Continue as the member that the previous process was.

        Both processes use the same machine's monotonic clock, so times remain valid.
        """
        context = self.context
        context.process = state.process
        context.started_at = state.started_at
        context.adopt_identity(state.local_peer)
        context.detector.incarnation = state.incarnation
        context.state = MemberState(state.state)
        context.latest_view = state.latest_view
        context.last_epoch = state.last_epoch
        context.last_seq = state.last_seq
        context.had_lease = state.has_lease
        context.map.merge(state.entries, context.unix_ms(), context.view_size())
        context.map.clock.observe(state.clock)
        self._import_components(state)
        context.durable_state = state.durable_state
        if state.durable_state is not None:
            self._import_view(state.durable_state, state.lease, now)

    def _import_components(self, state: HandoverState) -> None:
        self.heartbeat.last_joined_at = state.last_heartbeat_at
        self.packets.sent_count = state.packet_count
        self.packets.replay_windows = {
            (sender.name, sender.instance): ReplayWindow(sender.max_sequence)
            for sender in state.replay_windows
        }
        self.joining.readmissions = {readmission.name: readmission for readmission in state.readmissions}
        self.prior_leases.prior_views = list(state.prior_views)
        self.prior_leases.reported_views = {report.name: report.view for report in state.reported_views}
        self.departures.left_instances = dict.fromkeys(state.departed_instances)
        self.departures.ended_members = set(state.ended_members)
        self.proposer.leaving_members = set(state.leaving_members)

    def _import_view(self, durable: DurableState, lease: LeaseState | None, now: float) -> None:
        context = self.context
        view = durable.view
        context.view = view
        self.membership.resume(durable, now)
        if lease is not None:
            context.lease = Lease(len(view.members), view.index_by_name[context.config.name], context.random)
            context.lease.import_state(lease)
        if context.state is MemberState.RECOVERING:
            self.proposer.request_rejoin()
        expires_at = -math.inf if context.lease is None else context.lease.expires_at
        remaining_seconds = round(max(0.0, expires_at - now), 3)
        context.outbox.emit(
            events.FLEET_HANDOVER_COMPLETED, view=context.view_id_text(), lease=remaining_seconds
        )
