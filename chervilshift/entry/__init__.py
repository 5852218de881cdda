"""The entry process: serves callers and dispatches to endpoints."""
