"""What each role of a relay costs as its fleet grows, and what that is at the size to design for.

`python -m benchmarks.capacity [--quick] [--only PART] [--write]`. The parts measure series of points,
`fits` turns a series into a slope, `roles` reckons needs at full size, `page` writes `docs/CAPACITY.md`.
"""
