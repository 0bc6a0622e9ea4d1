"""The size to design for, and the budget of its control work: the operators' requirements in two years."""

from __future__ import annotations

RELAYS = 5_600
CONNECTIONS = 560_000_000
CONNECTIONS_PER_RELAY = CONNECTIONS // RELAYS
SHARDS = 1_900_000  # topic shards
LARGEST_TOPIC_LISTENERS = 460_000
DELIVERIES_PER_SECOND = 32_000_000  # all relays together
DELIVERIES_PER_RELAY = DELIVERIES_PER_SECOND / RELAYS
DELIVERY_P99_LIMIT_MS = 160  # 99 of 100 deliveries arrive within this time
REGIONS, ZONES = 10, 24
RELAYS_PER_REGION = RELAYS / REGIONS
RELAYS_PER_ZONE = RELAYS / ZONES
# Machines that fail with one rack or switch. Assumption: 1U machines in a 42U rack.
MACHINES_PER_RACK = 40
CHANGES_PER_DAY = 11_000  # changes of configuration
CHANGE_PROPAGATION_LIMIT_S = 17.0  # time until a change applies at every relay
FAILURES_PER_DAY = 25
RESTARTS_PER_DAY = 3_900  # planned restarts and replacements of relays
RELEASE_DURATION_HOURS = 8.0  # every relay is restarted once in this time (assumption)
MAX_PARTITION_HOURS = 1.0  # network partition between two regions
SECONDS_PER_DAY = 86_400.0

# Budget of a relay for control work.
CONTROL_CORE_SHARE = 0.049  # fraction of one core
CONTROL_MEMORY_BYTES = 128 << 20
CONTROL_BYTES_PER_SECOND = 6_000  # received and sent together, with packet headers
CONTROL_MACHINES = 46
CONTROL_MACHINE_CORES = 8  # cores of a control machine (assumption: those of the measuring machine)
