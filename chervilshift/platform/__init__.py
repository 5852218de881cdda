"""Adapter to the users' platform: its wire names, and nothing else."""
