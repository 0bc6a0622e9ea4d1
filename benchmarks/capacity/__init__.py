"""Measure how the cost of each role of a relay grows with the fleet, and extrapolate it to the design size.

`python -m benchmarks.capacity [--quick] [--only PART] [--write]`. The parts measure series of points, `fits` fits a
growth curve to a series, `roles` calculates the needs at the design size, `page` writes `docs/CAPACITY.md`.
"""
