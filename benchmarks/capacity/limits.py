"""Current limits of the code. A role that exceeds one can't exist at the design size, whatever its cost."""

from __future__ import annotations

from violetdoor.balancing.server_list import POLL_SERVICE_TIME_MS
from violetdoor.configuration.operator_form import Nats
from violetdoor.console.server import MAX_CALLERS
from violetdoor.fleet.anti_entropy import SYNC_INTERVAL_SECONDS
from violetdoor.fleet.messages import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES
from violetdoor.fleet.shared_map import MAX_ENTRIES, TOMBSTONE_RETENTION_MS
from violetdoor.fleet.view import MAX_JOINS_PER_CHANGE, MAX_MEMBERS
from violetdoor.net.discovery_client import MAX_BODY_BYTES
from violetdoor.net.server_list_watch import WATCH_HOLD_MS

MAX_VIEW_MEMBERS = MAX_MEMBERS
VIEW_JOINS_PER_CHANGE = MAX_JOINS_PER_CHANGE  # joins in one view change
VIEW_FRAME_BYTES = MAX_FRAME_BYTES
VIEW_DATAGRAM_BYTES = MAX_DATAGRAM_BYTES
VIEW_SYNC_INTERVAL_S = SYNC_INTERVAL_SECONDS
MAX_MAP_ENTRIES = MAX_ENTRIES
MAP_TOMBSTONE_RETENTION_S = TOMBSTONE_RETENTION_MS / 1000
LIST_BODY_BYTES = MAX_BODY_BYTES
LIST_HOLD_S = WATCH_HOLD_MS / 1000
LIST_SERVICE_TIME_S = POLL_SERVICE_TIME_MS / 1000  # time for which one complete list occupies discovery
MAX_CONSOLE_CALLERS = MAX_CALLERS
NATS_PING_INTERVAL_S = Nats().ping_interval  # interval of the PINGs to a server, for each client
DESCRIPTORS = 20_000  # file descriptors of one relay on the platform; a connection uses two
