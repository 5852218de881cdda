"""Adapter to the users' platform; only it knows the platform's wire names."""

__all__ = ["SETTINGS_VARIABLE"]

# Environment variable with the path of a process's settings file.
SETTINGS_VARIABLE = "CHERVILSHIFT_SETTINGS"
