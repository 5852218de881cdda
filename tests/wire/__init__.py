"""Tests of `chervilshift.wire`."""
