"""Network and process code that all fronts share: sockets, the server list, counters and the log."""
