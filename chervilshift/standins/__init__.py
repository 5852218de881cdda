"""Stand-ins for engines and plain services, for development and tests."""
