"""Benchmarks of the routing policies, and slopes for docs/CAPACITY.md."""
