"""Routing, endpoint selection, rate limits and scaling of HTTP traffic."""
