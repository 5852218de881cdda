"""Tests of chervilshift."""
