"""Tests of the whole system: separate processes under injected failures."""
