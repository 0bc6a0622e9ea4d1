"""Upgrades: how a new process of a relay takes over sockets and state from the running one."""
