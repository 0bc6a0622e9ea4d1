"""Long-running measurements, one command each; results are kept in docs/measurements."""
