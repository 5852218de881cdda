"""Tests of the routing bounds, and a benchmark of the dispatcher."""
