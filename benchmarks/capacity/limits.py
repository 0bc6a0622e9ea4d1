"""Limits that the code has today, by which a role may not exist at full size whatever it costs."""

from __future__ import annotations

from lynxdeck.policy import CALL
from violetdoor.console.server import CALLERS_MOST
from violetdoor.fleet.messages import DATAGRAM_MOST, FRAME_MOST
from violetdoor.fleet.node import SYNC_EVERY
from violetdoor.fleet.shared import ENTRIES_MOST, TOMBSTONE_MS
from violetdoor.fleet.view import JOINS_MOST, MEMBERS_MOST
from violetdoor.net.discovery import BODY_MOST, HOLD_MS
from violetdoor.settings import Nats

VIEW_MEMBERS = MEMBERS_MOST
VIEW_JOINS = JOINS_MOST  # by one change
VIEW_FRAME = FRAME_MOST  # bytes
VIEW_DATAGRAM = DATAGRAM_MOST  # bytes
VIEW_SYNC_S = SYNC_EVERY
MAP_ENTRIES = ENTRIES_MOST
MAP_TOMBSTONE_S = TOMBSTONE_MS / 1000
LIST_BODY = BODY_MOST  # bytes
LIST_HOLD_S = HOLD_MS / 1000
LIST_CALL_S = CALL / 1000  # that one whole list keeps a discovery busy, as the module takes it
CONSOLE_CALLERS = CALLERS_MOST
NATS_PING_S = Nats().ping_interval  # s between two PINGs to a server, for each client
DESCRIPTORS = 20_000  # of one relay on the platform; a connection takes two
