"""Tests of `chervilshift.entry`."""
