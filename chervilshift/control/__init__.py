"""The processes that hold the replicated log."""
