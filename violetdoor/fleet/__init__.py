"""A view of the fleet that the relays keep: who lives, in which order of views, under which lease.

Decisions stand in modules without input or output: `view`, `messages`, `seal`, `swim`, `agreement`,
`lease`, `shared`, and `node`, which joins them. `service` has the sockets. docs/design/fleet-view.md has
the promises.
"""
