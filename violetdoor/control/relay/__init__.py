"""The relay's side of the control plane: its session at a control machine, and the fleet state it receives.

`attachment` makes all decisions and does no I/O; `client` drives it with sockets and a clock. The attachment
is composed of parts that each own their state: `control_selection` (which control machine to connect to, and
when to retry one), `lease` (heartbeats and the lease granted for them), `roster_history` (which keys this
relay owns), `membership` (the relays alive in each region) and `shared_map_sync` (values that all relays
share).
"""
