"""Tests, by the package they mirror."""
