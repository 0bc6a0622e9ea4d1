"""Tracks earlier views whose leases may still be valid. No I/O.

A relay to which a new view assigns a key may own it only when the former owner can no longer act: after
LEASE_EXPIRY_SECONDS, or as soon as all members of the earlier view have installed a later one or have ended.
"""

from __future__ import annotations

from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.lease import LEASE_EXPIRY_SECONDS
from violetdoor.fleet.stored_state import PriorView
from violetdoor.fleet.view import View, ViewId


class PriorLeases:
    """The earlier views whose leases may still be valid, and the views that members have installed."""

    def __init__(self, context: NodeContext, departures: Departures) -> None:
        """Initialize without earlier views."""
        self.context = context
        self.departures = departures
        self.prior_views: list[PriorView] = []
        self.reported_views: dict[str, ViewId] = {}  # the newest view that each member reported, by its name

    def record_reported_view(self, name: str, view: ViewId) -> None:
        """Record which view of this epoch a member has installed."""
        self.reported_views[name] = max(view, self.reported_views.get(name, view))

    def add(self, old: View, now: float, *, is_direct_predecessor: bool) -> None:
        """Add a view that a later one of its epoch replaces.

        If it is not the direct predecessor, the views between the two are unknown.
        """
        self.prior_views.append(PriorView(old, now))
        if not is_direct_predecessor:
            self.prior_views.append(PriorView(None, now))

    def reset(self, now: float, *, is_first_view: bool) -> None:
        """Start in an epoch at its first view, or at a later one whose predecessors are unknown."""
        self.prior_views = [] if is_first_view else [PriorView(None, now)]

    def all_expired(self, now: float) -> bool:
        """Return whether all leases under earlier views have expired."""
        self._drop_expired(now)
        return not self.prior_views

    def owns(self, key: str, now: float) -> bool:
        """Return whether this relay is the only owner of a key."""
        context = self.context
        name = context.config.name
        if context.view is None or not context.may_act(now) or context.view.owner(key) != name:
            return False
        self._drop_expired(now)
        return all(prior.view is not None and prior.view.owner(key) == name for prior in self.prior_views)

    def is_certainly_dead(self, name: str, instance: int, now: float) -> bool:
        """Return whether an instance has ended, or was removed from the view and its lease has expired."""
        if self.departures.is_departed(instance):
            return True
        if self.context.view is None or self.context.is_member(name, instance):
            return False
        return self.all_expired(now)

    def on_view_installed(self, _old: View | None, view: View, _now: float) -> None:
        """Drop the reports of relays that are no longer members."""
        self.reported_views = {
            name: reported for name, reported in self.reported_views.items() if name in view.index_by_name
        }

    def on_view_left(self, _now: float) -> None:
        """Drop all state that belongs to the view."""
        self.prior_views = []
        self.reported_views = {}

    def _drop_expired(self, now: float) -> None:
        self.prior_views = [
            prior
            for prior in self.prior_views
            if now < prior.replaced_at + LEASE_EXPIRY_SECONDS and not self._is_superseded(prior.view)
        ]

    def _is_superseded(self, prior: View | None) -> bool:
        """Return whether each member of an earlier view has installed a later one, or has ended."""
        if prior is None or self.context.view is None:
            return False
        for peer in prior.members:
            if peer.name == self.context.config.name or self.departures.is_departed(peer.instance):
                continue
            reported = self.reported_views.get(peer.name)
            if not self.context.view.contains(peer) or reported is None or reported <= prior.id:
                return False
        return True
