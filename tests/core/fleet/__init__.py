"""Tests of `chervilshift.core.fleet`."""
