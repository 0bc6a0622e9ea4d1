"""Long measurements, one command each; results stand in docs/measurements."""
