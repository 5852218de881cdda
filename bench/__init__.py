"""Benchmarks of the decisions, and slopes for docs/CAPACITY.md."""
