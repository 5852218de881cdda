"""Small stand-ins for engines and plain services, for trials and tests."""
