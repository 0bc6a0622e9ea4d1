"""Membership of a fleet of relays: failure detection, agreed views, leases, and a replicated map.

`node` combines the components of one relay, none of which does I/O. `endpoint` runs a node on sockets (with
`datagrams`, `calls`, `streams` and `durable_output`), `state_file` stores the state that must survive a
restart, and `service` integrates the fleet into the relay program. docs/design/fleet-view.md describes the
components, the guarantees and the assumptions that they depend on.
"""
