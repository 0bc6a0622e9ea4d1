"""The size to design for, and the budget of its control work: what operators want in two years."""

from __future__ import annotations

RELAYS = 5_600
CONNECTIONS = 560_000_000
CONNECTIONS_PER_RELAY = CONNECTIONS // RELAYS
SHARDS = 1_900_000  # of topics
LARGEST_TOPIC_LISTENERS = 460_000  # of the largest topic
DELIVERIES_PER_SECOND = 32_000_000  # a second, of all relays
DELIVERIES_PER_RELAY = DELIVERIES_PER_SECOND / RELAYS
DELIVERY_P99_LIMIT_MS = 160  # for 99 of 100
REGIONS, ZONES = 10, 24
RELAYS_PER_REGION = RELAYS / REGIONS
RELAYS_PER_ZONE = RELAYS / ZONES
MACHINES_PER_RACK = (
    40  # machines that one rack or switch takes along: an assumption, 1U machines in a 42U rack
)
CHANGES_PER_DAY = 11_000  # of configuration
CHANGE_PROPAGATION_LIMIT_S = 17.0  # in force everywhere
FAILURES_PER_DAY = 25
RESTARTS_PER_DAY = 3_900  # planned, or replaced
RELEASE_DURATION_HOURS = 8.0  # in which all relays are restarted once: an assumption
MAX_PARTITION_HOURS = 1.0  # that two regions may lose each other
SECONDS_PER_DAY = 86_400.0  # s

# What a relay may spend on control.
CONTROL_CORE_SHARE = 0.049  # of one core
CONTROL_MEMORY_BYTES = 128 << 20
CONTROL_BYTES_PER_SECOND = 6_000  # in and out together, with headers
CONTROL_MACHINES = 46
CONTROL_MACHINE_CORES = 8  # of a control machine: an assumption, as the measuring machine
