"""Decisions about routed traffic: routes, endpoints, limits and scaling."""
