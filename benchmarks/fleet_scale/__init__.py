"""Benchmark of a large fleet on loopback: real control machines, stub relays, injected faults, and bounds.

A stub relay runs the control plane client of a relay and serves no clients; the result page calls it a hollow
relay.

The fleet: `layout` (names and addresses of machines and relays), `keys` (keys whose owners are sampled),
`configs` (configuration files), `processes`, `links` (TCP proxies between regions, which can be cut), `fleet`
(starts the processes and injects faults), `timeline` (the phases of a run).

The processes that host stub relays: `protocol` (commands and records), `host`, `hollow` (one stub relay),
`looks` (recorders that observe the relays), `traffic` (estimate of bytes on an Ethernet).

The results: `records` (all records of a run), `measures` (figures computed from them), `bounds`, `verdict`
(compares figures with bounds), `report` (the result page).

`virtual` runs hour-long scenarios in virtual time.
"""
