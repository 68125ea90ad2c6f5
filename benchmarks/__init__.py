"""Open-loop benchmarks of fleets of real processes on loopback addresses."""
