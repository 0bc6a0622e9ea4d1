"""What all fronts share of the network: sockets, discovery, counters."""
