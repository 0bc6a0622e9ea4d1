"""The size to design for, and the budget of its control work: what operators want in two years."""

from __future__ import annotations

RELAYS = 5_600
CONNECTIONS = 560_000_000
CONNECTIONS_PER_RELAY = CONNECTIONS // RELAYS
SHARDS = 1_900_000  # of topics
LISTENERS_MOST = 460_000  # of the largest topic
DELIVERIES = 32_000_000  # a second, of all relays
DELIVERIES_PER_RELAY = DELIVERIES / RELAYS
DELIVERY_WITHIN_MS = 160  # for 99 of 100
REGIONS, ZONES = 10, 24
RELAYS_PER_REGION = RELAYS / REGIONS
RELAYS_PER_ZONE = RELAYS / ZONES
RACK = 40  # machines that one rack or switch takes along: an assumption, 1U machines in a 42U rack
CHANGES_A_DAY = 11_000  # of configuration
CHANGE_WITHIN_S = 17.0  # in force everywhere
FAILURES_A_DAY = 25
RESTARTS_A_DAY = 3_900  # planned, or replaced
RELEASE_HOURS = 8.0  # in which all relays are restarted once: an assumption
CUT_HOURS = 1.0  # that two regions may lose each other
DAY = 86_400.0  # s

# What a relay may spend on control.
CORE_PART = 0.049  # of one core
MEMORY_BYTES = 128 << 20
BYTES_A_SECOND = 6_000  # in and out together, with headers
CONTROL_MACHINES = 46
MACHINE_CORES = 8  # of a control machine: an assumption, as the measuring machine
