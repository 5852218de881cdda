"""Messages and transport between the system's own processes."""
