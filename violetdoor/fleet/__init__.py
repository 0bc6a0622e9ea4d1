"""Membership of a fleet of relays: failure detection, agreed views, leases, and a replicated map.

All modules are without input or output but for `endpoint` and `streams` (sockets and the clock), `state_file`
(what must outlive the process) and `service` (the program's part). `node` joins the parts of one relay;
docs/design/fleet-view.md has the parts, the promises and what they rest on.
"""
