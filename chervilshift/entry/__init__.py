"""The processes that face callers and endpoints."""
