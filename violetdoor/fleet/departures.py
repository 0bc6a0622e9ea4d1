"""Records which instances of relays have provably ended. No I/O.

The failure detector may declare a member dead that is alive. The records of this module are certain: a relay
announced that it leaves, another instance of it answered, or its process has ended. An address belongs to one
process at a time, and a process that is replaced hands its sockets over. A refused connection or the answer
of another instance therefore proves that a process has ended.
"""

from __future__ import annotations

from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.view import MAX_MEMBERS, View


class Departures:
    """Members and instances that have ended. Tables of instances are bounded and drop the oldest first."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize without records."""
        self.context = context
        self.ended_members: set[str] = set()  # names of members whose instance in the view has ended
        self.left_instances: dict[int, None] = {}  # instances that announced that they leave
        self.failed_instances: dict[int, None] = {}  # instances whose process has ended

    def is_departed(self, instance: int) -> bool:
        """Return whether an instance has provably ended and can no longer act."""
        return instance in self.left_instances or instance in self.failed_instances

    def record_departure(self, instance: int) -> None:
        """Record that an instance has left by its own decision."""
        self.left_instances[instance] = None
        _drop_oldest(self.left_instances)

    def mark_member_ended(self, name: str, now: float) -> None:
        """Record that the instance of this member in the view has ended."""
        self.ended_members.add(name)
        self.context.detector.confirm_dead(name, now)
        self.context.wake_by(now)

    def confirm_failed(self, name: str, instance: int, now: float) -> None:
        """Record that an instance's process has ended.

        The proof is that its address refused a connection, or that another instance answered there.
        """
        was_recorded = instance in self.failed_instances
        self.failed_instances[instance] = None
        _drop_oldest(self.failed_instances)
        is_local = name == self.context.config.name
        if self.context.is_member(name, instance) and not is_local and not was_recorded:
            self.mark_member_ended(name, now)
            self.context.detector.confirm_dead(name, now, is_proven=True)

    def on_view_installed(self, old: View | None, view: View, _now: float) -> None:
        """Keep only the records of members whose instance is in both views."""
        retained = set() if old is None else {peer.name for peer in old.members if view.contains(peer)}
        self.ended_members &= retained

    def on_view_left(self, _now: float) -> None:
        """Drop all state that belongs to the view."""
        self.ended_members = set()


def _drop_oldest(table: dict[int, None]) -> None:
    while len(table) > MAX_MEMBERS:
        del table[next(iter(table))]
