"""Who writes the roster of a region, and what of it has settled: one control machine's part in its group."""
