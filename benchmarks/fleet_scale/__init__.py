"""A large fleet on loopback: real control machines, hollow relays, faults, and figures beside their bounds.

What runs: `layout` (which machines and relays there are), `keys` (whose owners are sampled), `configs` (files),
`processes`, `links` (between regions, which can be cut), `fleet` (all of it, and what is done to it), `timeline`.

The hosts of hollow relays: `protocol` (commands and records), `host`, `hollow` (one relay without clients),
`looks` (what is recorded of the relays), `traffic` (bytes as they would be on the wire).

What comes of it: `records` (one history), `measures` (figures), `bounds`, `verdict` (figures beside their
bounds), `report` (the page).
"""
