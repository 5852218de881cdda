"""Adapter to the users' platform: its wire names, and nothing else."""

__all__ = ["SETTINGS_VARIABLE"]

# Where the platform tells a process the path of its settings.
SETTINGS_VARIABLE = "CHERVILSHIFT_SETTINGS"
